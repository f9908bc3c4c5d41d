import { type Allocation, type AllocationRequest, type RecallTarget, ShareAllocationPolicy } from './ShareAllocationPolicy'

/** Baseline policy: every member node gets the same fixed share, regardless of its demand. @public */
export class EqualStaticShareAllocation extends ShareAllocationPolicy {
  override allocate ({ bucket, kept, memberCount }: AllocationRequest): Allocation {
    const fixedShare = 1 / memberCount
    const share = Math.max(0, fixedShare - kept.share)
    const burstShare = Math.max(0, fixedShare - kept.room)
    // Only a new holder gets a part of the bucket's tokens; its share of the rate supplies all later ones.
    const tokens = kept.continued || bucket.room <= 0 ? 0 : bucket.level * burstShare / bucket.room
    return { share, room: burstShare, tokens, fixed: true }
  }

  override selectRecalls (): RecallTarget[] {
    return []
  }
}
