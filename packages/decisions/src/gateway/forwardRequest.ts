import { type AttemptId, millis, toId } from '@lavenderturn/types'
import { incrementOutstanding } from '../health/handleAttemptEnded'
import { chooseEndpoint } from '../health/chooseEndpoint'
import { computeReference } from '../health/ServiceReference'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { GatewayRequest } from './GatewayState'
import { refuseRequest } from './refuseRequest'

/**
 * Sends the next attempt of a request to an endpoint, or refuses the request if no endpoint is available.
 *
 * @param state - the node's state
 * @param request - a request that has passed all checks
 * @returns effects
 * @internal
 */
export function forwardRequest (state: NodeState, request: GatewayRequest): NodeEffect[] {
  const chosen = chooseEndpoint(state, request.route.service, request.triedEndpoints)
  if (chosen === undefined) return refuseRequest(state, request, { result: request.lastResult ?? 'noEndpoint' })
  const { endpoint, member } = chosen
  request.phase = 'forwarding'
  request.attempts += 1
  request.triedEndpoints.add(endpoint.id)
  const attemptId = toId<AttemptId>(`${state.identity.nodeId}/${state.gateway.nextAttempt++}`)
  request.attempt = attemptId
  request.forwardedAttempt = { endpoint: endpoint.id, node: member.record.nodeId, at: state.now }
  incrementOutstanding(state, endpoint.id)
  return [{
    slice: 'gateway',
    type: 'forward',
    requestId: request.id,
    attemptId,
    node: member.record.nodeId,
    address: member.record.forwardAddress,
    endpoint: endpoint.id,
    service: endpoint.service,
    route: request.route.id,
    team: request.team,
    fingerprint: request.fingerprint,
    timeout: millis(request.deadline - state.now),
    bodyLimitBytes: request.route.bodyLimitBytes,
    reference: computeReference(state, endpoint.service, endpoint.id)
  }]
}
