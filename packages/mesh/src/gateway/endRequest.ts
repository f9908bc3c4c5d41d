import { type ResultName, toId } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { GatewayRequest } from './GatewayState'

/** Timers that a request may have. */
const REQUEST_TIMERS = ['deadline', 'token', 'questions', 'round', 'recall', 'switch'] as const

/** How a request ended. @internal */
export interface RequestEnd {
  readonly result: ResultName | 'answered' | 'callerGone'
  /** Whether an answer of a backend server was given to the caller. */
  readonly relayed?: boolean
  /** Whether the caller got a failure. */
  readonly failed?: boolean
}

/**
 * Forgets a request, gives its reservations back and drops the attempt that is still on its way.
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
  // Requests without a team are calls of the backend server on this instance, or open to all.
  if (request.team === undefined && end.failed === true) state.admission.lastCallFailureAt = state.now
  return [
    ...REQUEST_TIMERS.map((name): MeshEffect => ({ slice: 'timer', type: 'clear', id: toId(`${name}/${request.id}`) })),
    ...releaseSlotRequests(state, request),
    ...dropCurrentAttempt(state, request),
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
 * Gives back all reservations that are not used.
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
 * Drops the attempt that is on its way, and tells the other node so.
 *
 * @param state - the node's state
 * @param request - the request
 * @returns effects
 * @internal
 */
export function dropCurrentAttempt (state: MeshState, request: GatewayRequest): MeshEffect[] {
  const { currentAttempt: attempt, id: requestId } = request
  if (attempt === undefined) return []
  request.currentAttempt = undefined
  const { reservation, node } = attempt
  const effects: MeshEffect[] = [{ slice: 'gateway', type: 'dropAttempt', requestId, reservation }]
  const member = state.directory.members.get(node)
  if (member !== undefined) {
    effects.unshift({ slice: 'peer', type: 'send', to: member.peerAddress, message: { kind: 'cancel', reservation } })
  }
  return effects
}
