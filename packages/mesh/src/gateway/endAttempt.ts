import { millis, toId } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { countCrashes } from '../quarantine/isQuarantined'
import { dropCurrent, endRequest } from './endRequest'
import { RECALL_INTERVAL, RECOVERY_LIMIT } from './gatewayTimings'
import type { AttemptEnded, AttemptLost, AttemptRecalled } from './GatewayEvent'
import type { ForwardedAttempt, GatewayRequest } from './GatewayState'
import { refuseRequest } from './refuseRequest'
import { spendRetry } from './retryBudget'
import { findRouteTime, learnRouteTime } from './routeTimes'
import { seekSlot } from './seekSlot'

/**
 * Handles what the other node made of an attempt.
 *
 * @param state - the node's state
 * @param request - the request
 * @param event - the result
 * @returns effects
 * @internal
 */
export function endAttempt (state: MeshState, request: GatewayRequest, event: AttemptEnded): MeshEffect[] {
  const { current } = request
  if (current?.reservation !== event.reservation) return []
  request.current = undefined
  const effects = clearAttemptTimers(request)
  const { result } = event
  switch (result.kind) {
    case 'answered': return effects.concat(takeAnswer(state, request, current, result.failed))
    case 'rejected':
    case 'unreachable':
      request.refusedBy.add(current.node)
      return effects.concat(seekSlot(state, request))
    case 'declined':
      request.refusedBy.add(current.node)
      if (maySendAgain(state, request)) return effects.concat(seekSlot(state, request))
      return effects.concat(refuseRequest(state, request, { result: 'noEndpoint' }))
    case 'broken': return effects.concat(handleUnknown(state, request, current))
  }
}

function takeAnswer (
  state: MeshState,
  request: GatewayRequest,
  { node, reservation, sentAt }: ForwardedAttempt,
  failed: boolean
): MeshEffect[] {
  const { id: requestId } = request
  request.sentTo.add(node)
  if (!failed) learnRouteTime(state, request, state.now - sentAt)
  if (failed && request.route.repeatable && mayRepeat(state, request)) {
    request.fallback = reservation
    return seekSlot(state, request)
  }
  return [
    { slice: 'gateway', type: 'relay', requestId, reservation },
    ...endRequest(state, request, { result: 'answered', relayed: true, failed })
  ]
}

/** The outcome of an attempt is unknown: only a request that may be repeated goes to another server. */
function handleUnknown (state: MeshState, request: GatewayRequest, { node }: ForwardedAttempt): MeshEffect[] {
  request.sentTo.add(node)
  request.mayHaveRun = true
  if (request.route.repeatable && mayRepeat(state, request)) return seekSlot(state, request)
  return refuseRequest(state, request, { result: 'outcomeUnknown' })
}

function mayRepeat (state: MeshState, request: GatewayRequest): boolean {
  return request.sentTo.size < request.route.maxAttempts && maySendAgain(state, request)
}

function maySendAgain (state: MeshState, request: GatewayRequest): boolean {
  // A request that was running when a server crashed may be the cause.
  if (countCrashes(state, request.fingerprint) > 0) return false
  const usual = findRouteTime(state, request) ?? 0
  if (state.now + usual > request.deadline) return false
  return spendRetry(state, request.service)
}

function clearAttemptTimers ({ id }: GatewayRequest): MeshEffect[] {
  return [
    { slice: 'timer', type: 'clear', id: toId(`recall/${id}`) },
    { slice: 'timer', type: 'clear', id: toId(`switch/${id}`) }
  ]
}

/**
 * Handles a connection to another node that could not be made or broke: the attempt may still run there.
 *
 * @param state - the node's state
 * @param request - the request
 * @param event - the loss
 * @returns effects
 * @internal
 */
export function loseAttempt (state: MeshState, request: GatewayRequest, event: AttemptLost): MeshEffect[] {
  const { current } = request
  if (current?.reservation !== event.reservation) return []
  current.fetching = false
  if (!current.recovering) {
    current.recovering = true
    current.recoveringSince = state.now
  }
  return recallAttempt(state, request)
}

/**
 * Asks the other node what became of an attempt.
 *
 * @param state - the node's state
 * @param request - the request
 * @returns effects
 * @internal
 */
export function recallAttempt (state: MeshState, request: GatewayRequest): MeshEffect[] {
  const { current } = request
  if (current === undefined) return []
  const searchedMs = state.now - (current.recoveringSince ?? state.now)
  if (searchedMs > RECOVERY_LIMIT) return giveUpAttempt(state, request, current)
  const member = state.directory.members.get(current.node)
  if (member === undefined) return giveUpAttempt(state, request, current)
  return [
    {
      slice: 'peer',
      type: 'send',
      to: member.peerAddress,
      message: { kind: 'recall', reservation: current.reservation, replyTo: state.identity.peerAddress }
    },
    {
      slice: 'timer',
      type: 'set',
      id: toId(`recall/${request.id}`),
      delay: RECALL_INTERVAL,
      event: { slice: 'gateway', type: 'recallDue', requestId: request.id }
    }
  ]
}

/**
 * Handles the time at which an attempt should have been reported as started, or its answer found again.
 *
 * @param state - the node's state
 * @param request - the request
 * @returns effects
 * @internal
 */
export function checkAttempt (state: MeshState, request: GatewayRequest): MeshEffect[] {
  const { current } = request
  if (current === undefined || (current.started && !current.recovering)) return []
  current.recoveringSince ??= state.now
  return recallAttempt(state, request)
}

/**
 * Handles what another node says of an attempt.
 *
 * @param state - the node's state
 * @param request - the request
 * @param event - what it says
 * @returns effects
 * @internal
 */
export function takeFate (state: MeshState, request: GatewayRequest, { message }: AttemptRecalled): MeshEffect[] {
  const current = request.current!
  const { reservation } = current
  switch (message.fate) {
    case 'notStarted':
      request.current = undefined
      request.refusedBy.add(current.node)
      return [
        ...clearAttemptTimers(request),
        { slice: 'gateway', type: 'dropAttempt', requestId: request.id, reservation },
        ...seekSlot(state, request)
      ]
    case 'unknown': return giveUpAttempt(state, request, current)
    case 'running':
    case 'done':
      current.started = true
      // While the first connection lasts, the answer comes on it.
      return current.recovering ? fetchAnswer(state, request, current) : []
  }
}

function fetchAnswer (state: MeshState, request: GatewayRequest, current: ForwardedAttempt): MeshEffect[] {
  const member = state.directory.members.get(current.node)
  if (member === undefined || current.fetching) return []
  current.fetching = true
  return [
    { slice: 'timer', type: 'clear', id: toId(`recall/${request.id}`) },
    {
      slice: 'gateway',
      type: 'fetchAnswer',
      requestId: request.id,
      reservation: current.reservation,
      address: member.forwardAddress
    }
  ]
}

function giveUpAttempt (state: MeshState, request: GatewayRequest, current: ForwardedAttempt): MeshEffect[] {
  return [
    ...clearAttemptTimers(request),
    ...dropCurrent(state, request),
    ...handleUnknown(state, request, current)
  ]
}

/**
 * Sends a request that may be repeated to another server, because the one that has it takes much longer than usual.
 *
 * @param state - the node's state
 * @param request - the request
 * @returns effects
 * @internal
 */
export function switchServer (state: MeshState, request: GatewayRequest): MeshEffect[] {
  const { current } = request
  if (current === undefined) return []
  const usual = findRouteTime(state, request) ?? 0
  // The present attempt goes on when there is no time left for another one.
  if (millis(state.now + usual) > request.deadline) return []
  request.sentTo.add(current.node)
  if (!mayRepeat(state, request)) return []
  request.mayHaveRun = true
  return [...clearAttemptTimers(request), ...dropCurrent(state, request), ...seekSlot(state, request)]
}
