import type { Millis, NodeId } from '@lavenderturn/types'
import type { GrantAsk } from './GrantMessages'
import type { Bucket } from './LimitsState'
import type { KeptGrant } from './settleBucket'

/** What an owner knows when it decides on an ask. @public */
export interface AllocationRequest {
  /** The owner's part after the holder's returns. The asker's entry in `grants` holds what it keeps. */
  readonly bucket: Readonly<Bucket>
  readonly kept: KeptGrant
  readonly ask: GrantAsk
  /** Domains over which the team's burst is divided. */
  readonly domainCount: number
  /** Nodes that can hold grants. */
  readonly memberCount: number
  readonly now: Millis
}

/** What moves from the owner's bucket to the holder. @public */
export interface Allocation {
  /** Part of the rate. */
  readonly share: number
  /** Part of the burst. */
  readonly room: number
  readonly tokens: number
  /** Share of the rate that the holder may keep; all of it unless stated. */
  readonly keepShare?: number
  /** Whether the holder keeps all of it while it renews the grant, needed or not. */
  readonly fixed?: boolean
}

/** A holder to recall from. @public */
export interface RecallTarget {
  readonly holder: NodeId
  readonly keepShare: number
}

/** Decides how an owner divides a sub-limit among gateways. @public */
export abstract class ShareAllocationPolicy {
  /**
   * @param request - the owner's books and the ask
   * @returns what to move; more than the owner has is cut to what it has
   */
  abstract allocate (request: AllocationRequest): Allocation

  /**
   * @param request - the owner's books and the ask
   * @returns holders that should give something back for this ask
   */
  abstract selectRecalls (request: AllocationRequest): RecallTarget[]
}
