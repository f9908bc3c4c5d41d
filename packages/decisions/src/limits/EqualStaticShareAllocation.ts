import { type Allocation, type AllocationRequest, type RecallTarget, ShareAllocationPolicy } from './ShareAllocationPolicy'

/** Baseline: every member node gets the same fixed share, whatever it needs. @public */
export class EqualStaticShareAllocation extends ShareAllocationPolicy {
  override allocate ({ bucket, kept, memberCount }: AllocationRequest): Allocation {
    const fixed = 1 / memberCount
    const share = Math.max(0, fixed - kept.share)
    const room = Math.max(0, fixed - kept.room)
    // A new holder gets its part of the tokens; later ones come from its share of the rate alone.
    const tokens = kept.continued || bucket.room <= 0 ? 0 : bucket.level * room / bucket.room
    return { share, room, tokens, fixed: true }
  }

  override selectRecalls (): RecallTarget[] {
    return []
  }
}
