import type { Millis } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { claimRepeat } from './claimRetry'
import { clearAttemptTimers, dropCurrentAttempt, releaseSlotRequests } from './endRequest'
import { findMaxWait } from './findMaxWait'
import { forwardRequest, type GrantedSlot, isStillAuthorized, scheduleSwitch } from './forwardRequest'
import { MIN_SWITCH_DELAY } from './gatewayTimings'
import type { ForwardedAttempt, GatewayRequest } from './GatewayState'
import { findRouteTime } from './routeTimes'

/**
 * Decides whether a request may be sent to another server while its attempt continues.
 *
 * @param state - the node's state
 * @param request - a request with an attempt
 * @returns whether another attempt is allowed and would have the usual time of the route
 * @internal
 */
export function canSwitch (state: MeshState, request: GatewayRequest): boolean {
  if (!isStillAuthorized(state, request)) return false
  const usualMs = findRouteTime(state, request) ?? 0
  return state.now + usualMs <= request.deadline && findMaxWait(state, request) > 0
}

/**
 * Sends a request to a server that granted a slot, unless there is no longer time for another attempt. The current
 * attempt continues: whether its server hangs or the request takes long everywhere is not known, and in the second case
 * the next run would end even later.
 *
 * @param state - the node's state
 * @param request - a request that is switching to another server
 * @param slot - the granted slot
 * @returns effects
 * @internal
 */
export function completeSwitch (state: MeshState, request: GatewayRequest, slot: GrantedSlot): MeshEffect[] {
  const attempt = request.currentAttempt!
  request.isSwitching = false
  const releaseOthers = releaseSlotRequests(state, request)
  const isKnown = state.directory.members.has(slot.node)
  if (!isKnown || !canSwitch(state, request)) return [...releaseSlot(state, slot), ...releaseOthers]
  request.sentTo.add(attempt.node)
  if (!claimRepeat(state, request)) return [...releaseSlot(state, slot), ...releaseOthers]
  request.mayHaveRun = true
  return [
    logSwitch(state, request, { from: attempt.node, to: slot.node, sentAt: attempt.sentAt }),
    ...clearAttemptTimers(request),
    ...keepSlowAttempt(state, request, attempt),
    ...releaseOthers,
    ...forwardRequest(state, request, slot)
  ]
}

/**
 * Stops looking for another server and continues the current attempt.
 *
 * @param state - the node's state
 * @param request - a request that is switching to another server
 * @returns effects
 * @internal
 */
export function abandonSwitch (state: MeshState, request: GatewayRequest): MeshEffect[] {
  request.isSwitching = false
  request.refusedBy.clear()
  return [...releaseSlotRequests(state, request), scheduleSwitch(request, MIN_SWITCH_DELAY)]
}

/** Keeps the older one of two slow attempts, which is the closest to its end. */
function keepSlowAttempt (state: MeshState, request: GatewayRequest, attempt: ForwardedAttempt): MeshEffect[] {
  if (request.slowAttempt !== undefined) return dropCurrentAttempt(state, request)
  request.slowAttempt = attempt
  return []
}

function releaseSlot (state: MeshState, { node, reservation }: GrantedSlot): MeshEffect[] {
  const member = state.directory.members.get(node)
  if (member === undefined) return []
  return [{ slice: 'peer', type: 'send', to: member.peerAddress, message: { kind: 'release', reservation } }]
}

function logSwitch (
  state: MeshState,
  request: GatewayRequest,
  { from, to, sentAt }: { readonly from: string, readonly to: string, readonly sentAt: Millis }
): MeshEffect {
  return {
    slice: 'log',
    type: 'line',
    level: 'info',
    message: 'slow request sent to another server',
    fields: {
      request: request.callerRequestId,
      route: request.route.id,
      from,
      to,
      elapsedMs: Math.round(state.now - sentAt),
      usualMs: Math.round(findRouteTime(state, request) ?? 0),
      remainingMs: Math.round(request.deadline - state.now)
    }
  }
}
