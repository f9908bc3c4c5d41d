import type { Millis, NodeId } from '@lavenderturn/types'
import type { GrantRequest } from './GrantMessages'
import type { Bucket } from './LimitsState'
import type { KeptGrant } from './refillBucket'

/** What an owner knows when it decides on a grant request. @public */
export interface AllocationRequest {
  /** The bucket after the holder's returns. The requester's entry in `grants` is what it keeps. */
  readonly bucket: Readonly<Bucket>
  readonly kept: KeptGrant
  readonly ask: GrantRequest
  /** Number of domains among which the team's burst is divided. */
  readonly domainCount: number
  /** Number of nodes that can hold grants. */
  readonly memberCount: number
  readonly now: Millis
}

/** What moves from the owner's bucket to the holder. @public */
export interface Allocation {
  /** Share of the rate. */
  readonly share: number
  /** Share of the burst. */
  readonly room: number
  readonly tokens: number
  /** Share of the rate that the holder may keep; defaults to 1. */
  readonly keepShare?: number
  /** Whether the holder keeps the whole grant at each renewal, needed or not; defaults to false. */
  readonly fixed?: boolean
}

/** A holder to send a recall to. @public */
export interface RecallTarget {
  readonly holder: NodeId
  /** Share of the rate that the holder may keep. */
  readonly keepShare: number
}

/** Decides how an owner divides a domain limit among gateways. @public */
export abstract class ShareAllocationPolicy {
  /**
   * @param request - the owner's bucket and the grant request
   * @returns what to move to the holder; the caller limits it to what the owner has
   */
  abstract allocate (request: AllocationRequest): Allocation

  /**
   * @param request - the owner's bucket and the grant request
   * @returns holders that should return something for this grant request
   */
  abstract selectRecalls (request: AllocationRequest): RecallTarget[]
}
