import { type Millis, millis, type NodeId, toId } from '@lavenderturn/types'
import type { ReservationId } from '../admission/ReservationId'
import { isConfigurationConfirmed } from '../configuration/isConfigurationConfirmed'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import {
  DEFAULT_ROUTE_TIME_MS, MIN_SWITCH_DELAY, RECALL_DELAY, SLOW_LINK_BYTES_PER_MS, SWITCH_DELAY_FACTOR
} from './gatewayTimings'
import type { GatewayRequest } from './GatewayState'
import { findRouteTime } from './routeTimes'
import { refuseRequest } from './refuseRequest'

/** @internal */
export interface GrantedSlot {
  readonly reservation: ReservationId
  readonly node: NodeId
}

/**
 * Forwards a request to the node that granted it a slot.
 *
 * @param state - the node's state
 * @param request - the request
 * @param slot - the granted slot
 * @returns effects
 * @internal
 */
export function forwardRequest (state: MeshState, request: GatewayRequest, slot: GrantedSlot): MeshEffect[] {
  const { reservation, node } = slot
  const member = state.directory.members.get(node)
  if (member === undefined) return refuseRequest(state, request, { result: 'noEndpoint' })
  if (!isStillAuthorized(state, request)) {
    return [
      { slice: 'peer', type: 'send', to: member.peerAddress, message: { kind: 'release', reservation } },
      ...refuseRequest(state, request, { result: 'unconfirmed' })
    ]
  }
  request.phase = 'forwarding'
  request.currentAttempt = { reservation, node, sentAt: state.now, started: false, recovering: false, fetching: false }
  const timeout = millis(request.deadline - state.now)
  const effects: MeshEffect[] = [
    { slice: 'timer', type: 'clear', id: toId(`questions/${request.id}`) },
    { slice: 'timer', type: 'clear', id: toId(`round/${request.id}`) },
    {
      slice: 'gateway',
      type: 'forward',
      requestId: request.id,
      reservation,
      address: member.forwardAddress,
      route: request.route.id,
      team: request.team,
      timeout
    },
    {
      slice: 'timer',
      type: 'set',
      id: toId(`recall/${request.id}`),
      delay: millis(RECALL_DELAY + request.bodyBytes / SLOW_LINK_BYTES_PER_MS),
      event: { slice: 'gateway', type: 'recallDue', requestId: request.id }
    }
  ]
  if (request.route.repeatable && request.sentTo.size + 1 < request.route.maxAttempts) {
    const usualMs = findRouteTime(state, request) ?? DEFAULT_ROUTE_TIME_MS
    effects.push(scheduleSwitch(request, millis(Math.max(MIN_SWITCH_DELAY, usualMs * SWITCH_DELAY_FACTOR))))
  }
  return effects
}

/**
 * @param request - a repeatable request with an attempt
 * @param delay - time until the request may be sent to another server
 * @returns the timer
 * @internal
 */
export function scheduleSwitch ({ id }: Pick<GatewayRequest, 'id'>, delay: Millis): MeshEffect {
  const event = { slice: 'gateway', type: 'switchDue', requestId: id } as const
  return { slice: 'timer', type: 'set', id: toId(`switch/${id}`), delay, event }
}

/**
 * The key may have been revoked, or the configuration's confirmation may have expired, while the request was waiting.
 *
 * @param state - the node's state
 * @param request - a request that was admitted
 * @returns whether it may still be sent to a server
 * @internal
 */
export function isStillAuthorized (state: MeshState, { team, keyHash }: GatewayRequest): boolean {
  if (team === undefined) return true
  return isConfigurationConfirmed(state) && state.configuration.current?.teamsByKey.get(keyHash!)?.id === team
}
