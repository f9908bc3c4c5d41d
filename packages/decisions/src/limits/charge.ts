import { addMillis, type RequestId, type TeamId, toId } from '@lavenderturn/types'
import { partitionOf } from '../control/Assignment'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { raise } from '../raise'
import { findSubLimit } from './findSubLimit'
import { countArrival, takeToken } from './holdGrants'
import { TOKEN_WAIT } from './limitTimes'
import type { TeamHolding } from './LimitsState'
import type { TokenWaitExpired } from './LimitsEvent'
import { runTeam } from './runTeam'

/** What became of a charge. A waiting request gets `gateway/charged` or `gateway/chargeRefused` later. @public */
export type ChargeResult = 'charged' | 'waiting' | 'refused'

/**
 * Takes one token of the team's rate for a request. With a grant that has tokens this needs no message and no timer.
 *
 * @param state - the node's state
 * @param request - the request to charge for
 * @param team - the team that pays
 * @param effects - receives the effects of asking for tokens
 * @returns whether the token was taken
 * @public
 */
export function charge (state: NodeState, request: RequestId, team: TeamId, effects: NodeEffect[]): ChargeResult {
  if (findSubLimit(state, team) === undefined) return 'refused'
  const holding = state.limits.holdings.get(team) ?? openHolding(state, team)
  countArrival(state, holding)
  // Requests that wait already come first.
  if (holding.waiting.length === 0 && takeToken(state, holding)) return 'charged'
  holding.waiting.push({ requestId: request, since: state.now })
  const served = runTeam(state, holding, effects)
  for (const other of served) if (other !== request) effects.push(raiseCharged(other))
  if (served.includes(request)) return 'charged'
  effects.push({
    slice: 'timer',
    type: 'set',
    id: toId(`tokenWait/${request}`),
    delay: TOKEN_WAIT,
    event: { slice: 'limits', type: 'tokenWaitExpired', requestId: request, team }
  })
  return 'waiting'
}

function openHolding (state: NodeState, team: TeamId): TeamHolding {
  const holding: TeamHolding = {
    team,
    partition: partitionOf(team),
    grants: new Map(),
    asks: new Map(),
    waiting: [],
    asked: new Set(),
    failedRounds: 0,
    nextRoundAt: state.now,
    arrivals: 0,
    arrivedAt: state.now,
    // Before any request of this holding.
    answeredAt: addMillis(state.now, toId(-1))
  }
  state.limits.holdings.set(team, holding)
  return holding
}

/**
 * Tells waiting requests that they have been charged.
 *
 * @param state - the node's state
 * @param holding - a team's grants
 * @param effects - receives the calls, timers and events
 * @internal
 */
export function serveTeam (state: NodeState, holding: TeamHolding, effects: NodeEffect[]): void {
  for (const requestId of runTeam(state, holding, effects)) effects.push(raiseCharged(requestId))
}

/**
 * Refuses a request that has waited for a token as long as it may.
 *
 * @param state - the node's state
 * @param event - the end of the wait
 * @returns effects
 * @internal
 */
export function expireWait (state: NodeState, { requestId, team }: TokenWaitExpired): NodeEffect[] {
  const effects: NodeEffect[] = []
  const holding = state.limits.holdings.get(team)
  if (holding === undefined) return effects
  serveTeam(state, holding, effects)
  const index = holding.waiting.findIndex((waiting) => waiting.requestId === requestId)
  if (index < 0) return effects
  const [waiting] = holding.waiting.splice(index, 1)
  // Grants live for a second, so an owner has answered recently if there are any.
  const answered = holding.answeredAt >= waiting!.since || holding.grants.size > 0
  const result = answered ? 'overRate' : 'limitUnreachable'
  effects.push(raise({ slice: 'gateway', type: 'chargeRefused', requestId, result }))
  return effects
}

function raiseCharged (requestId: RequestId): NodeEffect {
  return raise({ slice: 'gateway', type: 'charged', requestId })
}
