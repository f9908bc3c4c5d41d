import { type AttemptId, millis, toId } from '@lavenderturn/types'
import { listCandidates } from '../health/listCandidates'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { GatewayRequest } from './GatewayState'
import { refuseRequest } from './refuseRequest'

/**
 * Sends the next attempt of a request to an endpoint, or refuses it when no endpoint takes it.
 *
 * @param state - the node's state
 * @param request - a request that may be sent now
 * @returns effects
 * @internal
 */
export function forwardRequest (state: NodeState, request: GatewayRequest): NodeEffect[] {
  const candidates = listCandidates(state, request.route.service, request.tried)
  if (candidates.length === 0) return refuseRequest(state, request, { result: request.lastResult ?? 'noEndpoint' })
  const { endpoint, member } = state.policies.endpoint.choose(candidates, state.random)
  request.phase = 'forwarding'
  request.attempts += 1
  request.tried.add(endpoint.id)
  const attemptId = toId<AttemptId>(`${state.identity.nodeId}/${state.gateway.nextAttempt++}`)
  request.attempt = attemptId
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
    bodyLimitBytes: request.route.bodyLimitBytes
  }]
}
