import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { claimRepeat, claimRetry } from './claimRetry'
import { clearAttemptTimers, endRequest } from './endRequest'
import type { AttemptEnded, AttemptResult } from './GatewayEvent'
import type { ForwardedAttempt, GatewayRequest } from './GatewayState'
import { refuseRequest } from './refuseRequest'
import { recordRouteTime } from './routeTimes'
import { requestSlot } from './requestSlot'
import { resumeSlowAttempt } from './resumeSlowAttempt'

/**
 * Handles the outcome of an attempt as reported by the other node.
 *
 * @param state - the node's state
 * @param request - the request
 * @param event - the outcome
 * @returns effects
 * @internal
 */
export function endAttempt (state: MeshState, request: GatewayRequest, event: AttemptEnded): MeshEffect[] {
  const { currentAttempt: attempt, slowAttempt } = request
  if (slowAttempt?.reservation === event.reservation) return endSlowAttempt(state, request, slowAttempt, event.result)
  if (attempt?.reservation !== event.reservation) return []
  request.currentAttempt = undefined
  const effects = clearAttemptTimers(request)
  const { result } = event
  switch (result.kind) {
    case 'answered': return effects.concat(handleAnswer(state, request, attempt, result.failed))
    case 'rejected':
    case 'unreachable':
      request.refusedBy.add(attempt.node)
      return effects.concat(resumeSlowAttempt(request) ?? requestSlot(state, request))
    case 'declined':
      request.refusedBy.add(attempt.node)
      return effects.concat(resumeSlowAttempt(request) ?? handleDecline(state, request))
    case 'broken': return effects.concat(handleUnknownOutcome(state, request, attempt))
  }
}

/** Handles the outcome of the slow attempt beside the current one. Only an answer that is not an error counts. */
function endSlowAttempt (
  state: MeshState,
  request: GatewayRequest,
  slowAttempt: ForwardedAttempt,
  result: AttemptResult
): MeshEffect[] {
  request.slowAttempt = undefined
  if (result.kind !== 'answered') return []
  if (!result.failed) return handleAnswer(state, request, slowAttempt, false)
  request.failedAnswer = slowAttempt.reservation
  return []
}

function handleDecline (state: MeshState, request: GatewayRequest): MeshEffect[] {
  if (claimRetry(state, request)) return requestSlot(state, request)
  return refuseRequest(state, request, { result: 'noEndpoint' })
}

function handleAnswer (
  state: MeshState,
  request: GatewayRequest,
  { node, reservation, sentAt }: ForwardedAttempt,
  failed: boolean
): MeshEffect[] {
  const { id: requestId } = request
  request.sentTo.add(node)
  if (!failed) recordRouteTime(state, request, state.now - sentAt)
  if (failed && request.slowAttempt !== undefined) {
    request.failedAnswer = reservation
    return resumeSlowAttempt(request)!
  }
  if (failed && request.route.repeatable && claimRepeat(state, request)) {
    request.failedAnswer = reservation
    return requestSlot(state, request)
  }
  return [
    { slice: 'gateway', type: 'relay', requestId, reservation },
    ...endRequest(state, request, { result: 'answered', relayed: true, failed })
  ]
}

/**
 * Handles an attempt whose outcome is unknown. Only repeatable requests are sent to another server.
 *
 * @param state - the node's state
 * @param request - the request
 * @param attempt - the attempt
 * @returns effects
 * @internal
 */
export function handleUnknownOutcome (
  state: MeshState,
  request: GatewayRequest,
  { node }: ForwardedAttempt
): MeshEffect[] {
  request.sentTo.add(node)
  request.mayHaveRun = true
  const resumed = resumeSlowAttempt(request)
  if (resumed !== undefined) return resumed
  if (request.route.repeatable && claimRepeat(state, request)) return requestSlot(state, request)
  return refuseRequest(state, request, { result: 'outcomeUnknown' })
}
