import { toId } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { handleUnknownOutcome } from './endAttempt'
import { clearAttemptTimers, dropCurrentAttempt } from './endRequest'
import { RECALL_INTERVAL, RECOVERY_TIMEOUT } from './gatewayTimings'
import type { AttemptLost, AttemptRecalled } from './GatewayEvent'
import type { ForwardedAttempt, GatewayRequest } from './GatewayState'
import { requestSlot } from './requestSlot'
import { resumeSlowAttempt } from './resumeSlowAttempt'

/**
 * Handles a failed or lost connection to another node. The attempt may still be running there.
 *
 * @param state - the node's state
 * @param request - the request
 * @param event - the lost connection
 * @returns effects
 * @internal
 */
export function handleAttemptLost (state: MeshState, request: GatewayRequest, event: AttemptLost): MeshEffect[] {
  const { currentAttempt: attempt, slowAttempt } = request
  if (slowAttempt?.reservation === event.reservation) {
    // Its answer is recovered if the attempt beside it ends without one.
    slowAttempt.recovering = true
    return []
  }
  if (attempt?.reservation !== event.reservation) return []
  attempt.fetching = false
  if (!attempt.recovering) {
    attempt.recovering = true
    attempt.recoveringSince = state.now
  }
  return recallAttempt(state, request)
}

/**
 * Asks the other node for the state of an attempt.
 *
 * @param state - the node's state
 * @param request - the request
 * @returns effects
 * @internal
 */
function recallAttempt (state: MeshState, request: GatewayRequest): MeshEffect[] {
  const { currentAttempt: attempt } = request
  if (attempt === undefined) return []
  const recoveringMs = state.now - (attempt.recoveringSince ?? state.now)
  if (recoveringMs > RECOVERY_TIMEOUT) return giveUpAttempt(state, request, attempt)
  const member = state.directory.members.get(attempt.node)
  if (member === undefined) return giveUpAttempt(state, request, attempt)
  return [
    {
      slice: 'peer',
      type: 'send',
      to: member.peerAddress,
      message: { kind: 'recall', reservation: attempt.reservation, replyTo: state.identity.peerAddress }
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
 * Handles an attempt that was not reported as started, or whose answer was not recovered, in time.
 *
 * @param state - the node's state
 * @param request - the request
 * @returns effects
 * @internal
 */
export function handleRecallDue (state: MeshState, request: GatewayRequest): MeshEffect[] {
  const { currentAttempt: attempt } = request
  if (attempt === undefined || (attempt.started && !attempt.recovering)) return []
  attempt.recoveringSince ??= state.now
  return recallAttempt(state, request)
}

/**
 * Handles the state of an attempt as reported by another node.
 *
 * @param state - the node's state
 * @param request - the request
 * @param event - the reported state
 * @returns effects
 * @internal
 */
export function handleAttemptRecalled (
  state: MeshState,
  request: GatewayRequest,
  { message }: AttemptRecalled
): MeshEffect[] {
  const attempt = request.currentAttempt!
  const { reservation } = attempt
  switch (message.attemptState) {
    case 'notStarted':
      request.currentAttempt = undefined
      request.refusedBy.add(attempt.node)
      return [
        ...clearAttemptTimers(request),
        { slice: 'gateway', type: 'dropAttempt', requestId: request.id, reservation },
        ...resumeSlowAttempt(request) ?? requestSlot(state, request)
      ]
    case 'unknown': return giveUpAttempt(state, request, attempt)
    case 'running':
    case 'done':
      attempt.started = true
      // If the original connection is still open, the answer arrives on it.
      return attempt.recovering ? fetchAnswer(state, request, attempt) : []
  }
}

function fetchAnswer (state: MeshState, request: GatewayRequest, attempt: ForwardedAttempt): MeshEffect[] {
  const member = state.directory.members.get(attempt.node)
  if (member === undefined || attempt.fetching) return []
  attempt.fetching = true
  return [
    { slice: 'timer', type: 'clear', id: toId(`recall/${request.id}`) },
    {
      slice: 'gateway',
      type: 'fetchAnswer',
      requestId: request.id,
      reservation: attempt.reservation,
      address: member.forwardAddress
    }
  ]
}

function giveUpAttempt (state: MeshState, request: GatewayRequest, attempt: ForwardedAttempt): MeshEffect[] {
  return [
    ...clearAttemptTimers(request),
    ...dropCurrentAttempt(state, request),
    ...handleUnknownOutcome(state, request, attempt)
  ]
}
