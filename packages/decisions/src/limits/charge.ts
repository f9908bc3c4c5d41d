import { addMillis, type RequestId, type TeamId, toId } from '@lavenderturn/types'
import { partitionOf } from '../control/Assignment'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { raise } from '../raise'
import { findDomainLimit } from './findDomainLimit'
import { countArrival, takeToken } from './heldGrants'
import { MAX_TOKEN_WAIT } from './limitConstants'
import type { TokenWaitExpired } from './LimitsEvent'
import type { TeamLimiter } from './LimitsState'
import { updateLimiter } from './updateLimiter'

/** Result of a charge. For `waiting`, `gateway/charged` or `gateway/chargeRefused` follows. @public */
export type ChargeResult = 'charged' | 'waiting' | 'refused'

/**
 * Takes one token of the team's rate for a request. Needs no message and no timer while held grants have tokens.
 *
 * @param state - the node's state
 * @param request - the request to charge for
 * @param team - the team whose rate is charged
 * @param effects - receives grant requests, timers and events
 * @returns whether a token was taken, or the request waits for one
 * @public
 */
export function charge (state: NodeState, request: RequestId, team: TeamId, effects: NodeEffect[]): ChargeResult {
  if (findDomainLimit(state, team) === undefined) return 'refused'
  const limiter = state.limits.limiters.get(team) ?? createLimiter(state, team)
  countArrival(state, limiter)
  // Requests that are already waiting come first.
  if (limiter.waiting.length === 0 && takeToken(state, limiter)) return 'charged'
  limiter.waiting.push({ requestId: request, since: state.now })
  const served = updateLimiter(state, limiter, effects)
  for (const other of served) if (other !== request) effects.push(raiseCharged(other))
  if (served.includes(request)) return 'charged'
  effects.push({
    slice: 'timer',
    type: 'set',
    id: toId(`tokenWait/${request}`),
    delay: MAX_TOKEN_WAIT,
    event: { slice: 'limits', type: 'tokenWaitExpired', requestId: request, team }
  })
  return 'waiting'
}

function createLimiter (state: NodeState, team: TeamId): TeamLimiter {
  const limiter: TeamLimiter = {
    team,
    partition: partitionOf(team),
    grants: new Map(),
    outstanding: new Map(),
    waiting: [],
    asked: new Set(),
    failedRounds: 0,
    nextRoundAt: state.now,
    decayedArrivals: 0,
    lastArrivalAt: state.now,
    // Earlier than any request of this limiter.
    lastGrantAt: addMillis(state.now, toId(-1))
  }
  state.limits.limiters.set(team, limiter)
  return limiter
}

/**
 * Updates a team's limiter and reports the waiting requests that were charged.
 *
 * @param state - the node's state
 * @param limiter - the team's limiter
 * @param effects - receives the calls, timers and events
 * @internal
 */
export function serveWaitingRequests (state: NodeState, limiter: TeamLimiter, effects: NodeEffect[]): void {
  for (const requestId of updateLimiter(state, limiter, effects)) effects.push(raiseCharged(requestId))
}

/**
 * Refuses a request that has waited `MAX_TOKEN_WAIT` for a token, unless it can be charged now.
 *
 * @param state - the node's state
 * @param event - the timeout
 * @returns effects
 * @internal
 */
export function handleTokenWaitExpired (state: NodeState, { requestId, team }: TokenWaitExpired): NodeEffect[] {
  const effects: NodeEffect[] = []
  const limiter = state.limits.limiters.get(team)
  if (limiter === undefined) return effects
  serveWaitingRequests(state, limiter, effects)
  const index = limiter.waiting.findIndex((waiting) => waiting.requestId === requestId)
  if (index < 0) return effects
  const [waiting] = limiter.waiting.splice(index, 1)
  // Grants are valid for at most a second, so an owner has answered recently if there are any.
  const answered = limiter.lastGrantAt >= waiting!.since || limiter.grants.size > 0
  const result = answered ? 'overRate' : 'limitUnreachable'
  effects.push(raise({ slice: 'gateway', type: 'chargeRefused', requestId, result }))
  return effects
}

function raiseCharged (requestId: RequestId): NodeEffect {
  return raise({ slice: 'gateway', type: 'charged', requestId })
}
