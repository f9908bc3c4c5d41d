import { addMillis, type Millis, millis, type ResultCodeName, type ServiceId, toId } from '@lavenderturn/types'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import type { RouteRule, TeamRule } from '../configuration/FleetConfiguration'
import { findRoute, isRouteUnreadable } from '../configuration/findRoute'
import { isConfigurationConfirmed } from '../configuration/isConfigurationConfirmed'
import { isRefusingRequests, RETRY_AFTER_STOP } from '../lifecycle/plannedStop'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { isQuarantined } from '../quarantine/isQuarantined'
import { chargeRequest } from './chargeRequest'
import { depositRetry } from './retryBudget'
import type { RequestArrived } from './GatewayEvent'
import type { GatewayRequest } from './GatewayState'
import { DEFAULT_RETRY_AFTER } from './refuseRequest'

type AccessDecision =
  | { readonly kind: 'refused', readonly result: ResultCodeName, readonly retryAfter?: Millis }
  | { readonly kind: 'granted', readonly route: RouteRule, readonly team?: TeamRule }

/**
 * Checks the route, the key and the fingerprint of a request, then charges its team's rate.
 *
 * @param state - the node's state
 * @param event - the received request
 * @returns effects
 * @internal
 */
export function admitRequest (state: MeshState, event: RequestArrived): MeshEffect[] {
  const access = checkAccess(state, event)
  if (access.kind === 'refused') {
    const { requestId } = event
    const { result, retryAfter = DEFAULT_RETRY_AFTER } = access
    return [
      { slice: 'gateway', type: 'refuse', requestId, result, retryAfter },
      { slice: 'log', type: 'line', level: 'info', message: 'request refused', fields: describeRefusal(state, event, result) }
    ]
  }
  const request = createRequest(state, event, access)
  depositRetry(state, request.service)
  return [
    {
      slice: 'timer',
      type: 'set',
      id: toId(`deadline/${request.id}`),
      delay: millis(request.deadline - state.now),
      event: { slice: 'gateway', type: 'deadlinePassed', requestId: request.id }
    },
    ...chargeRequest(state, request)
  ]
}

function checkAccess (state: MeshState, event: RequestArrived): AccessDecision {
  const { current } = state.configuration
  if (isRefusingRequests(state)) return { kind: 'refused', result: 'draining', retryAfter: RETRY_AFTER_STOP }
  if (current === undefined) return { kind: 'refused', result: 'unconfirmed' }
  const route = findRoute(current, event.host, event.path)
  if (isRouteUnreadable(current, { host: event.host, path: event.path, route })) {
    return { kind: 'refused', result: 'unconfirmed' }
  }
  if (route === undefined) return { kind: 'refused', result: 'unknownRoute' }
  if (isQuarantined(state, event.fingerprint)) return { kind: 'refused', result: 'quarantined' }
  if (route.isPublic || !current.requiresKeys) return { kind: 'granted', route }
  if (!isConfigurationConfirmed(state)) return { kind: 'refused', result: 'unconfirmed' }
  const team = event.keyHash === undefined ? undefined : current.teamsByKey.get(event.keyHash)
  if (team === undefined) return { kind: 'refused', result: 'unknownKey' }
  return { kind: 'granted', route, team }
}

function describeRefusal (
  state: MeshState,
  { callerRequestId, host, path }: RequestArrived,
  result: ResultCodeName
): Readonly<Record<string, string | number | undefined>> {
  return { request: callerRequestId, result, host, path, revision: state.configuration.current?.revision }
}

function createRequest (
  state: MeshState,
  event: RequestArrived,
  { route, team }: { readonly route: RouteRule, readonly team?: TeamRule }
): GatewayRequest {
  const timeout = Math.min(route.timeout, event.callerTimeout ?? Number.POSITIVE_INFINITY)
  const request: GatewayRequest = {
    id: event.requestId,
    callerRequestId: event.callerRequestId,
    route,
    service: drawService(state, route),
    team: team?.id,
    keyHash: event.keyHash,
    priority: team?.priority ?? route.priority,
    fingerprint: event.fingerprint,
    bodyBytes: event.bodyBytes,
    arrivedAt: millis(event.at - event.age),
    deadline: addMillis(event.at, millis(timeout - event.age)),
    phase: 'charging',
    isSwitching: false,
    grants: new Map(),
    ownersAsked: 0,
    slotRequests: new Map(),
    refusedBy: new Set(),
    sentTo: new Set(),
    rounds: 0,
    acceptSuspect: false,
    mayHaveRun: false
  }
  state.gateway.requests.set(request.id, request)
  return request
}

/**
 * Draws a destination by weight. The request keeps it even if that service has no free slots, so that the weights hold.
 */
function drawService ({ random }: MeshState, { destinations }: RouteRule): ServiceId {
  if (destinations.length === 1) return destinations[0]!.service
  const total = destinations.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = uniformFloat64(random) * total
  const chosen = destinations.find(({ weight }) => {
    remaining -= weight
    return remaining < 0
  })
  return (chosen ?? destinations[0]!).service
}
