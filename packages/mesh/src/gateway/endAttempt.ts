import { type NodeId, toId } from '@lavenderturn/types'
import { isAlive } from '../directory/isAlive'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { countCrashes } from '../quarantine/isQuarantined'
import { dropCurrentAttempt, endRequest } from './endRequest'
import type { AttemptEnded } from './GatewayEvent'
import type { ForwardedAttempt, GatewayRequest } from './GatewayState'
import { scheduleSwitch } from './forwardRequest'
import { MIN_SWITCH_DELAY } from './gatewayTimings'
import { refuseRequest } from './refuseRequest'
import { withdrawRetry } from './retryBudget'
import { findRouteTime, recordRouteTime } from './routeTimes'
import { findMaxWait, listCandidates, requestSlot } from './requestSlot'

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
  const { currentAttempt: attempt } = request
  if (attempt?.reservation !== event.reservation) return []
  request.currentAttempt = undefined
  const effects = clearAttemptTimers(request)
  const { result } = event
  switch (result.kind) {
    case 'answered': return effects.concat(handleAnswer(state, request, attempt, result.failed))
    case 'rejected':
    case 'unreachable':
      request.refusedBy.add(attempt.node)
      return effects.concat(requestSlot(state, request))
    case 'declined':
      request.refusedBy.add(attempt.node)
      if (claimRetry(state, request)) return effects.concat(requestSlot(state, request))
      return effects.concat(refuseRequest(state, request, { result: 'noEndpoint' }))
    case 'broken': return effects.concat(handleUnknownOutcome(state, request, attempt))
  }
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
  if (request.route.repeatable && claimRepeat(state, request)) return requestSlot(state, request)
  return refuseRequest(state, request, { result: 'outcomeUnknown' })
}

/** Takes another attempt for a request that may already have run, if its route allows one more. */
function claimRepeat (state: MeshState, request: GatewayRequest): boolean {
  return request.sentTo.size < request.route.maxAttempts && claimRetry(state, request)
}

/** Takes another attempt from the retry budget if the request may be sent again and has time left. */
function claimRetry (state: MeshState, request: GatewayRequest): boolean {
  // A request that was running when a server crashed may have caused the crash.
  if (countCrashes(state, request.fingerprint) > 0) return false
  const usualMs = findRouteTime(state, request) ?? 0
  if (state.now + usualMs > request.deadline) return false
  return withdrawRetry(state, request.service)
}

/**
 * @param request - a request whose attempt has ended
 * @returns effects that clear the timers of the attempt
 * @internal
 */
export function clearAttemptTimers ({ id }: GatewayRequest): MeshEffect[] {
  return [
    { slice: 'timer', type: 'clear', id: toId(`recall/${id}`) },
    { slice: 'timer', type: 'clear', id: toId(`switch/${id}`) }
  ]
}

/**
 * Sends a repeatable request to another server because the current one takes much longer than usual. Continues the
 * current attempt if there is no other server that is known to accept work.
 *
 * @param state - the node's state
 * @param request - the request
 * @returns effects
 * @internal
 */
export function switchServer (state: MeshState, request: GatewayRequest): MeshEffect[] {
  const { currentAttempt: attempt } = request
  if (attempt === undefined) return []
  const usualMs = findRouteTime(state, request) ?? 0
  // Continues the current attempt if there is no time left for another one, also before the process ends.
  if (state.now + usualMs > request.deadline || findMaxWait(state, request) <= 0) return []
  if (!hasOtherServer(state, request, attempt.node)) return [scheduleSwitch(request, MIN_SWITCH_DELAY)]
  request.sentTo.add(attempt.node)
  if (!claimRepeat(state, request)) return []
  request.mayHaveRun = true
  return [...clearAttemptTimers(request), ...dropCurrentAttempt(state, request), ...requestSlot(state, request)]
}

function hasOtherServer (state: MeshState, request: GatewayRequest, current: NodeId): boolean {
  return listCandidates(state, request).some((member) => {
    return member.node !== current && member.load.open && isAlive(state, member) && state.now >= member.avoidUntil
  })
}
