import type { Millis, NodeId, TeamId } from '@lavenderturn/types'

/** A team's token bucket at the node that keeps it. @public */
export interface TokenBucket {
  level: number
  refilledAt: Millis
  /** When each node last asked; decides how much of the rate a deputy may give out. */
  readonly requesters: Map<NodeId, Millis>
}

/** @public */
export interface QuotaState {
  readonly buckets: Map<TeamId, TokenBucket>
}

/**
 * @returns the state of a node that keeps no team's rate
 * @internal
 */
export function createQuotaState (): QuotaState {
  return { buckets: new Map() }
}
