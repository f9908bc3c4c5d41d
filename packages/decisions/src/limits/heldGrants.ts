import { isFresh } from '../control/isFresh'
import type { NodeState } from '../NodeState'
import { type DomainLimit, findDomainLimit } from './findDomainLimit'
import type { HeldGrant, TeamLimiter } from './LimitsState'

/** Smaller differences in tokens are floating-point rounding errors. */
export const TOKEN_TOLERANCE = 1e-9

/** Time constant of the exponential decay in the demand estimate. */
const DEMAND_DECAY_MS = 1_000

/**
 * Adds the tokens that a held grant has gained since the last refill, at the lower of the owner's and the node's own
 * rate. A grant gains nothing after its expiry.
 *
 * @param state - the node's state
 * @param grant - the grant
 * @param limit - the domain limit according to the node's own document
 * @returns the tokens that can be spent now
 * @internal
 */
export function refillGrant (state: NodeState, grant: HeldGrant, limit: DomainLimit): number {
  const until = Math.min(state.now, grant.expiresAt)
  const elapsed = Math.max(0, until - grant.refilledAt)
  const rate = Math.min(grant.rate, limit.rate)
  const cap = grant.room * Math.min(grant.burst, limit.burst)
  grant.level = Math.min(cap, grant.level + grant.share * rate * elapsed / 1_000)
  if (state.now > grant.refilledAt) grant.refilledAt = state.now
  return state.now < grant.expiresAt ? grant.level : 0
}

/**
 * @param state - the node's state
 * @param limiter - the team's limiter
 * @returns the tokens that can be spent now
 * @internal
 */
export function sumLevels (state: NodeState, limiter: TeamLimiter): number {
  const limit = findDomainLimit(state, limiter.team)
  if (limit === undefined) return 0
  let sum = 0
  for (const grant of limiter.grants.values()) sum += refillGrant(state, grant, limit)
  return sum
}

/**
 * Takes one token, from several grants if necessary: when the burst is smaller than the number of domains, each domain
 * has less than one whole token.
 *
 * @param state - the node's state
 * @param limiter - the team's limiter
 * @returns whether a whole token was available
 * @internal
 */
export function takeToken (state: NodeState, limiter: TeamLimiter): boolean {
  if (!isFresh(state) || sumLevels(state, limiter) < 1 - TOKEN_TOLERANCE) return false
  let missing = 1
  for (const grant of limiter.grants.values()) {
    if (missing <= 0) break
    if (grant.expiresAt <= state.now || grant.level <= 0) continue
    const taken = Math.min(missing, grant.level)
    grant.level -= taken
    missing -= taken
    state.limits.touched.spends.push(grant)
  }
  return true
}

/**
 * Counts the arrival of a request for the demand estimate.
 *
 * @param state - the node's state
 * @param limiter - the team's limiter
 * @internal
 */
export function countArrival (state: NodeState, limiter: TeamLimiter): void {
  limiter.decayedArrivals = decayArrivals(state, limiter) + 1
  limiter.lastArrivalAt = state.now
}

/**
 * Estimates demand from the decayed number of arrivals. A single arrival indicates no rate, so one is subtracted.
 *
 * @param state - the node's state
 * @param limiter - the team's limiter
 * @returns requests per second
 * @internal
 */
export function estimateDemand (state: NodeState, limiter: TeamLimiter): number {
  return Math.max(0, decayArrivals(state, limiter) - 1) * 1_000 / DEMAND_DECAY_MS
}

function decayArrivals (state: NodeState, { decayedArrivals, lastArrivalAt }: TeamLimiter): number {
  return decayedArrivals * Math.exp((lastArrivalAt - state.now) / DEMAND_DECAY_MS)
}
