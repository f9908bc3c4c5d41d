import { addMillis, type Millis, millis, type ResultCodeName, resultCodes, type TeamId, toId } from '@lavenderturn/types'
import type { RouteEntry } from '@lavenderturn/declaration'
import { isFresh } from '../control/isFresh'
import { charge } from '../limits/charge'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { isQuarantined } from '../quarantine/isQuarantined'
import { claimOrForward } from './claimOrForward'
import type { RequestArrived } from './GatewayEvent'
import { type GatewayRequest, RETRY_BUDGET_CAPACITY } from './GatewayState'
import { refuseRequest } from './refuseRequest'

/** Amount that each request adds to the retry budget; limits retries to 20 % of the requests. */
const RETRY_BUDGET_PER_REQUEST = 0.2

/**
 * Decides whether a request may run. Checks the request target, the route, the body size, the fingerprint and the key,
 * and then the team's rate limit.
 *
 * @param state - the node's state
 * @param event - the arrival of the request
 * @returns effects that refuse the request, forward it, or wait for a rate limit token or an idempotency claim
 * @internal
 */
export function admitRequest (state: NodeState, event: RequestArrived): NodeEffect[] {
  const access = checkAccess(state, event)
  if (access.kind === 'refused') return [refuseArrival(event, access.result)]
  const request = createRequest(state, event, access)
  const effects: NodeEffect[] = [{
    slice: 'timer',
    type: 'set',
    id: toId(`deadline/${request.id}`),
    delay: millis(request.deadline - event.at),
    event: { slice: 'gateway', type: 'deadlinePassed', requestId: request.id }
  }]
  if (request.team === undefined) return effects.concat(claimOrForward(state, request))
  const result = charge(state, request.id, request.team, effects)
  if (result === 'refused') return effects.concat(refuseRequest(state, request, { result: 'overRate' }))
  if (result === 'charged') return effects.concat(claimOrForward(state, request))
  return effects
}

type AccessDecision =
  | { readonly kind: 'refused', readonly result: ResultCodeName }
  | { readonly kind: 'granted', readonly route: RouteEntry, readonly team?: TeamId }

function checkAccess (state: NodeState, event: RequestArrived): AccessDecision {
  const document = state.control.document
  if (document === undefined) return { kind: 'refused', result: 'unconfirmed' }
  if (event.keyInTarget) return { kind: 'refused', result: 'malformedRequest' }
  const route = document.findRoute(event.method, event.path)
  if (route === undefined) return { kind: 'refused', result: 'unknownRoute' }
  if (event.bodyBytes !== undefined && event.bodyBytes > route.bodyLimitBytes) {
    return { kind: 'refused', result: 'bodyTooLarge' }
  }
  if (isQuarantined(state, event.fingerprint)) return { kind: 'refused', result: 'quarantined' }
  if (route.access.kind === 'open') return { kind: 'granted', route }
  if (!isFresh(state)) return { kind: 'refused', result: 'unconfirmed' }
  const team = event.keyHash === undefined ? undefined : document.findTeamByKey(event.keyHash)
  if (team === undefined) return { kind: 'refused', result: 'unknownKey' }
  if (route.access.kind === 'teams' && !route.access.teams.has(team)) {
    return { kind: 'refused', result: 'teamNotAllowed' }
  }
  return { kind: 'granted', route, team }
}

function createRequest (
  state: NodeState,
  event: RequestArrived,
  { route, team }: { readonly route: RouteEntry, readonly team?: TeamId }
): GatewayRequest {
  const request: GatewayRequest = {
    id: event.requestId,
    route,
    team,
    keyHash: event.keyHash,
    fingerprint: event.fingerprint,
    idempotencyKey: event.idempotencyKey,
    deadline: addMillis(event.at, effectiveTimeout(route.deadline, event.timeout)),
    phase: 'charging',
    attempts: 0,
    triedEndpoints: new Set(),
    mayHaveRun: false
  }
  state.gateway.requests.set(request.id, request)
  state.gateway.retryBudget = Math.min(RETRY_BUDGET_CAPACITY, state.gateway.retryBudget + RETRY_BUDGET_PER_REQUEST)
  return request
}

function effectiveTimeout (routeTimeout: Millis, callerTimeout: Millis | undefined): Millis {
  return callerTimeout === undefined || routeTimeout < callerTimeout ? routeTimeout : callerTimeout
}

function refuseArrival ({ requestId }: RequestArrived, result: ResultCodeName): NodeEffect {
  return { slice: 'gateway', type: 'refuse', requestId, result, run: resultCodes[result].run }
}
