import { toId } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { clearAttemptTimers, handleUnknown } from './endAttempt'
import { dropCurrent } from './endRequest'
import { RECALL_INTERVAL, RECOVERY_LIMIT } from './gatewayTimings'
import type { AttemptLost, AttemptRecalled } from './GatewayEvent'
import type { ForwardedAttempt, GatewayRequest } from './GatewayState'
import { seekSlot } from './seekSlot'

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
function recallAttempt (state: MeshState, request: GatewayRequest): MeshEffect[] {
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
