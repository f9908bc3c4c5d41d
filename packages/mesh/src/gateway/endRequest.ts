import { type ResultCodeName, toId } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { ForwardedAttempt, GatewayRequest } from './GatewayState'

/** Id prefixes of the timers that a request may have. */
const REQUEST_TIMERS = ['deadline', 'token', 'questions', 'round', 'recall', 'switch'] as const

/** How a request ended. @internal */
export interface RequestEnd {
  readonly result: ResultCodeName | 'answered' | 'callerGone'
  /** Whether a backend server's answer was relayed to the caller. */
  readonly relayed?: boolean
  /** Whether the caller received an error. */
  readonly failed?: boolean
}

/**
 * Removes a request, releases its reservations and drops its attempts.
 *
 * @param state - the node's state
 * @param request - the request
 * @param end - how it ended
 * @returns effects
 * @internal
 */
export function endRequest (state: MeshState, request: GatewayRequest, end: RequestEnd): MeshEffect[] {
  const { currentAttempt: attempt } = request
  state.gateway.requests.delete(request.id)
  // Requests without a team are made by this instance's backend server, or use an open route.
  if (request.team === undefined && end.failed === true) state.admission.lastCallFailureAt = state.now
  return [
    ...REQUEST_TIMERS.map((name): MeshEffect => ({ slice: 'timer', type: 'clear', id: toId(`${name}/${request.id}`) })),
    ...releaseSlotRequests(state, request),
    ...dropCurrentAttempt(state, request),
    ...dropSlowAttempt(state, request),
    {
      slice: 'log',
      type: 'line',
      level: end.failed === true ? 'info' : 'debug',
      message: 'request ended',
      fields: {
        request: request.callerRequestId,
        result: end.result,
        route: request.route.id,
        service: request.service,
        team: request.team,
        sentTo: [...request.sentTo, ...attempt === undefined ? [] : [attempt.node]].join(),
        rounds: request.rounds,
        elapsedMs: Math.round(state.now - request.arrivedAt),
        revision: state.configuration.current?.revision
      }
    }
  ]
}

/**
 * Releases all pending and unused reservations of a request.
 *
 * @param state - the node's state
 * @param request - the request
 * @returns effects
 * @internal
 */
export function releaseSlotRequests (state: MeshState, request: GatewayRequest): MeshEffect[] {
  const effects: MeshEffect[] = []
  for (const [reservation, { node }] of request.slotRequests) {
    const member = state.directory.members.get(node)
    if (member === undefined) continue
    effects.push({ slice: 'peer', type: 'send', to: member.peerAddress, message: { kind: 'release', reservation } })
  }
  request.slotRequests.clear()
  return effects
}

/**
 * Drops the current attempt and cancels it at the other node.
 *
 * @param state - the node's state
 * @param request - the request
 * @returns effects
 * @internal
 */
export function dropCurrentAttempt (state: MeshState, request: GatewayRequest): MeshEffect[] {
  const { currentAttempt } = request
  request.currentAttempt = undefined
  return cancelAttempt(state, request, currentAttempt)
}

function dropSlowAttempt (state: MeshState, request: GatewayRequest): MeshEffect[] {
  const { slowAttempt } = request
  request.slowAttempt = undefined
  return cancelAttempt(state, request, slowAttempt)
}

function cancelAttempt (
  state: MeshState,
  { id: requestId }: GatewayRequest,
  attempt: ForwardedAttempt | undefined
): MeshEffect[] {
  if (attempt === undefined) return []
  const { reservation, node } = attempt
  const effects: MeshEffect[] = [{ slice: 'gateway', type: 'dropAttempt', requestId, reservation }]
  const member = state.directory.members.get(node)
  if (member !== undefined) {
    effects.unshift({ slice: 'peer', type: 'send', to: member.peerAddress, message: { kind: 'cancel', reservation } })
  }
  return effects
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
