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
import { reportAttempt } from './reportAttempt'

/**
 * @param state - the node's state
 * @param event - an event of the gateway
 * @returns effects
 * @internal
 */
export function reduceGateway (state: NodeState, event: GatewayEvent): NodeEffect[] {
  if (event.type === 'requestArrived') return admitRequest(state, event)
  const request = state.gateway.requests.get(event.requestId)
  // The request has ended already; what comes late for it is dropped.
  if (request === undefined) return []
  switch (event.type) {
    case 'charged': return claimOrForward(state, request)
    case 'chargeRefused': return refuseRequest(state, request, { result: event.result })
    case 'claimed': return forwardRequest(state, request)
    case 'claimRefused': return refuseRequest(state, request, { result: event.result, detail: event.detail })
    case 'forwardAnswered': return relayAnswer(state, event)
    case 'forwardRefused': return handleForwardRefused(state, request, event)
    case 'forwardFailed': return handleForwardFailed(state, request, event)
    case 'answerEnded': return endAnswer(state, event)
    case 'bodyTooLarge': return refuseRequest(state, request, { result: 'bodyTooLarge' })
    case 'callerGone': return dropRequest(state, request)
    case 'deadlinePassed': return expireRequest(state, request)
  }
}

function relayAnswer (state: NodeState, event: ForwardAnswered): NodeEffect[] {
  const request = state.gateway.requests.get(event.requestId)!
  // An answer of an attempt that is not the current one came late or crossed.
  if (request.attempt !== event.attemptId || request.phase !== 'forwarding') return []
  request.phase = 'answering'
  request.status = event.status
  const effects: NodeEffect[] = [
    // The deadline bounds the wait for an answer; a long answer that makes progress is not cut.
    { slice: 'timer', type: 'clear', id: toId(`deadline/${request.id}`) },
    { slice: 'gateway', type: 'relay', requestId: event.requestId, attemptId: event.attemptId },
    ...reportAttempt(state, request, { kind: 'replied' }, event.load)
  ]
  return effects
}

function endAnswer (state: NodeState, event: AnswerEnded): NodeEffect[] {
  const request = state.gateway.requests.get(event.requestId)!
  if (request.phase !== 'answering') return []
  request.attempt = undefined
  return endRequest(state, request, { kind: 'answered', status: request.status! })
}

function expireRequest (state: NodeState, request: GatewayRequest): NodeEffect[] {
  const result = request.mayHaveRun || request.attempt !== undefined ? 'deadlineAfterDispatch' : 'deadlineInQueue'
  return refuseRequest(state, request, { result })
}

function dropRequest (state: NodeState, request: GatewayRequest): NodeEffect[] {
  const mayHaveRun = request.mayHaveRun || request.attempt !== undefined
  return endRequest(state, request, { kind: mayHaveRun ? 'unknown' : 'not-run' })
}
