import { isFresh } from '../control/isFresh'
import type { NodeState } from '../NodeState'
import { findSubLimit, type SubLimit } from './findSubLimit'
import type { HeldGrant, TeamHolding } from './LimitsState'

/** Differences below this are rounding errors of fractions. */
export const TOKEN_TOLERANCE = 1e-9

/** Memory of the demand estimate. */
const DEMAND_MEMORY_MS = 1_000

/**
 * Fills a held grant up to the present, at the lower of the owner's and the node's own rate. A grant does not fill
 * after its expiry.
 *
 * @param state - the node's state
 * @param grant - the grant
 * @param sub - the sub-limit by the node's own document
 * @returns the tokens that can be spent now
 * @internal
 */
export function settleGrant (state: NodeState, grant: HeldGrant, sub: SubLimit): number {
  const until = Math.min(state.now, grant.expiresAt)
  const elapsed = Math.max(0, until - grant.filledAt)
  const rate = Math.min(grant.rate, sub.rate)
  const cap = grant.room * Math.min(grant.burst, sub.burst)
  grant.level = Math.min(cap, grant.level + grant.share * rate * elapsed / 1_000)
  if (state.now > grant.filledAt) grant.filledAt = state.now
  return state.now < grant.expiresAt ? grant.level : 0
}

/**
 * @param state - the node's state
 * @param holding - a team's grants
 * @returns the tokens that can be spent now
 * @internal
 */
export function sumLevels (state: NodeState, holding: TeamHolding): number {
  const sub = findSubLimit(state, holding.team)
  if (sub === undefined) return 0
  let sum = 0
  for (const grant of holding.grants.values()) sum += settleGrant(state, grant, sub)
  return sum
}

/**
 * Takes one token, from several grants if need be: a burst of fewer tokens than domains leaves less than one whole
 * token in each.
 *
 * @param state - the node's state
 * @param holding - a team's grants
 * @returns whether there was one
 * @internal
 */
export function takeToken (state: NodeState, holding: TeamHolding): boolean {
  if (!isFresh(state) || sumLevels(state, holding) < 1 - TOKEN_TOLERANCE) return false
  let missing = 1
  for (const grant of holding.grants.values()) {
    if (missing <= 0) break
    if (grant.expiresAt <= state.now || grant.level <= 0) continue
    const part = Math.min(missing, grant.level)
    grant.level -= part
    missing -= part
    state.limits.touched.spends.push(grant)
  }
  return true
}

/**
 * Counts an arrival for the demand estimate.
 *
 * @param state - the node's state
 * @param holding - a team's grants
 * @internal
 */
export function countArrival (state: NodeState, holding: TeamHolding): void {
  holding.arrivals = fadeArrivals(state, holding) + 1
  holding.arrivedAt = state.now
}

/**
 * Estimates demand from faded arrivals. One arrival says nothing of a rate, so it is not counted.
 *
 * @param state - the node's state
 * @param holding - a team's grants
 * @returns requests a second
 * @internal
 */
export function estimateDemand (state: NodeState, holding: TeamHolding): number {
  return Math.max(0, fadeArrivals(state, holding) - 1) * 1_000 / DEMAND_MEMORY_MS
}

function fadeArrivals (state: NodeState, { arrivals, arrivedAt }: TeamHolding): number {
  return arrivals * Math.exp((arrivedAt - state.now) / DEMAND_MEMORY_MS)
}
