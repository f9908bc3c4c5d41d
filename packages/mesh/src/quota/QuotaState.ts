import type { Millis, NodeId, TeamId } from '@lavenderturn/types'

/** Token bucket of a team's rate at the node that owns it. @public */
export interface TokenBucket {
  level: number
  refilledAt: Millis
  /** When each node last requested a token. Determines the share of the rate that a fallback owner may grant. */
  readonly requesters: Map<NodeId, Millis>
}

/** @public */
export interface QuotaState {
  readonly buckets: Map<TeamId, TokenBucket>
}

/**
 * @returns the state of a node that owns no team's rate
 * @internal
 */
export function createQuotaState (): QuotaState {
  return { buckets: new Map() }
}
