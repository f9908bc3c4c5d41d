import { isAlive } from '../directory/isAlive'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { canSwitch } from './completeSwitch'
import { scheduleSwitch } from './forwardRequest'
import { MIN_SWITCH_DELAY } from './gatewayTimings'
import type { GatewayRequest } from './GatewayState'
import { listCandidates, requestSlot } from './requestSlot'
import { canRetry } from './retryBudget'

/**
 * Looks for another server for a repeatable request because the current one takes much longer than usual. The current
 * attempt continues, so that it is not given up for one that may not begin, or not end, in time.
 *
 * @param state - the node's state
 * @param request - the request
 * @returns effects
 * @internal
 */
export function switchServer (state: MeshState, request: GatewayRequest): MeshEffect[] {
  if (request.currentAttempt === undefined || request.isSwitching || !canSwitch(state, request)) return []
  if (!canRetry(state, request)) return []
  if (!hasOtherServer(state, request)) return [scheduleSwitch(request, MIN_SWITCH_DELAY)]
  request.isSwitching = true
  return requestSlot(state, request)
}

function hasOtherServer (state: MeshState, request: GatewayRequest): boolean {
  return listCandidates(state, request).some((member) => {
    return member.load.open && isAlive(state, member) && state.now >= member.avoidUntil
  })
}
