import { type ResultName } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { isSuspect } from '../quarantine/isQuarantined'
import { forwardRequest } from './forwardRequest'
import type { ForwardFailed, ForwardRefused } from './GatewayEvent'
import type { GatewayRequest } from './GatewayState'
import { refuseRequest } from './refuseRequest'

/** Attempts of one request, the first included. */
const MAX_ATTEMPTS = 3

/**
 * Handles an attempt that the other node, or the backend server, says it did not run.
 *
 * @param state - the node's state
 * @param request - the request
 * @param event - the refusal
 * @returns effects
 * @internal
 */
export function handleForwardRefused (state: NodeState, request: GatewayRequest, event: ForwardRefused): NodeEffect[] {
  if (request.attempt !== event.attemptId) return []
  request.attempt = undefined
  if (event.replayable === false) return refuseRequest(state, request, { result: event.result })
  return retryOrRefuse(state, request, event.result)
}

/**
 * Handles an attempt that ended without a whole answer.
 *
 * @param state - the node's state
 * @param request - the request
 * @param event - the failure
 * @returns effects
 * @internal
 */
export function handleForwardFailed (state: NodeState, request: GatewayRequest, event: ForwardFailed): NodeEffect[] {
  if (request.attempt !== event.attemptId) return []
  request.attempt = undefined
  if (!event.sent) return retryOrRefuse(state, request, 'noEndpoint')
  request.mayHaveRun = true
  const result = event.reason === 'truncated' ? 'answerIncomplete' : 'outcomeUnknown'
  // A request that may have crashed one backend server is not given the next one.
  const mayRepeat = request.route.repeatable && event.replayable && event.serverDied !== true
  if (!mayRepeat) return refuseRequest(state, request, { result })
  return retryOrRefuse(state, request, result)
}

function retryOrRefuse (state: NodeState, request: GatewayRequest, result: ResultName): NodeEffect[] {
  request.lastResult = result
  if (!mayRetry(state, request)) return refuseRequest(state, request, { result })
  state.gateway.retryBudget -= 1
  return forwardRequest(state, request)
}

function mayRetry (state: NodeState, request: GatewayRequest): boolean {
  return request.attempts < MAX_ATTEMPTS &&
    state.now < request.deadline &&
    state.gateway.retryBudget >= 1 &&
    !isSuspect(state, request.fingerprint)
}
