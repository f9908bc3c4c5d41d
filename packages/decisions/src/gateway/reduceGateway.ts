import { toId } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { admitRequest } from './admitRequest'
import { claimOrForward } from './claimOrForward'
import { endRequest } from './endRequest'
import { forwardRequest } from './forwardRequest'
import type { AnswerEnded, ForwardAnswered, GatewayEvent } from './GatewayEvent'
import type { GatewayRequest } from './GatewayState'
import { handleForwardFailed, handleForwardRefused } from './handleForwardFailure'
import { refuseRequest } from './refuseRequest'
import { reportAttemptEnd } from './reportAttemptEnd'

/**
 * Applies a gateway event to the node's state.
 *
 * @param state - the node's state
 * @param event - the event
 * @returns effects
 * @internal
 */
export function reduceGateway (state: NodeState, event: GatewayEvent): NodeEffect[] {
  if (event.type === 'requestArrived') return admitRequest(state, event)
  const request = state.gateway.requests.get(event.requestId)
  // Late events for a request that has ended are ignored.
  if (request === undefined) return []
  switch (event.type) {
    case 'charged': return claimOrForward(state, request)
    case 'chargeRefused': return refuseRequest(state, request, { result: event.result })
    case 'claimed': return forwardRequest(state, request)
    case 'claimRefused': return refuseRequest(state, request, { result: event.result, detail: event.detail })
    case 'forwardAnswered': return relayResponse(state, event)
    case 'forwardRefused': return handleForwardRefused(state, request, event)
    case 'forwardFailed': return handleForwardFailed(state, request, event)
    case 'answerEnded': return endResponse(state, event)
    case 'bodyTooLarge': return refuseRequest(state, request, { result: 'bodyTooLarge' })
    case 'callerGone': return handleCallerGone(state, request)
    case 'deadlinePassed': return handleDeadlinePassed(state, request)
  }
}

function relayResponse (state: NodeState, event: ForwardAnswered): NodeEffect[] {
  const request = state.gateway.requests.get(event.requestId)!
  // Ignores a response to an earlier attempt.
  if (request.attempt !== event.attemptId || request.phase !== 'forwarding') return []
  request.phase = 'answering'
  request.status = event.status
  const effects: NodeEffect[] = [
    // The deadline covers the time until the response starts; a long response that makes progress is not cut off.
    { slice: 'timer', type: 'clear', id: toId(`deadline/${request.id}`) },
    { slice: 'gateway', type: 'relay', requestId: event.requestId, attemptId: event.attemptId },
    ...reportAttemptEnd(state, request, { kind: 'replied' }, event.load)
  ]
  return effects
}

function endResponse (state: NodeState, event: AnswerEnded): NodeEffect[] {
  const request = state.gateway.requests.get(event.requestId)!
  if (request.phase !== 'answering') return []
  request.attempt = undefined
  return endRequest(state, request, { kind: 'answered', status: request.status! })
}

function handleDeadlinePassed (state: NodeState, request: GatewayRequest): NodeEffect[] {
  const result = request.mayHaveRun || request.attempt !== undefined ? 'deadlineAfterDispatch' : 'deadlineInQueue'
  return refuseRequest(state, request, { result })
}

function handleCallerGone (state: NodeState, request: GatewayRequest): NodeEffect[] {
  const mayHaveRun = request.mayHaveRun || request.attempt !== undefined
  return endRequest(state, request, { kind: mayHaveRun ? 'unknown' : 'not-run' })
}
