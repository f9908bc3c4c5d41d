import { findStopTime } from '../lifecycle/plannedStop'
import type { MeshState } from '../MeshState'
import { DEFAULT_ROUTE_TIME_MS, MAX_WAIT_SHARE } from './gatewayTimings'
import type { GatewayRequest } from './GatewayState'
import { findRouteTime } from './routeTimes'

/**
 * @param state - the node's state
 * @param request - a request
 * @returns how long it can wait for a slot and still end in time; 0 or less if it can no longer end
 * @internal
 */
export function findMaxWait (state: MeshState, request: GatewayRequest): number {
  const total = request.deadline - request.arrivedAt
  const usualMs = findRouteTime(state, request) ?? DEFAULT_ROUTE_TIME_MS
  const latestStart = Math.max(request.deadline - usualMs, request.arrivedAt + total * MAX_WAIT_SHARE)
  // A request that starts too late before the end of the process would be cut.
  const stopTime = findStopTime(state)
  const latestEnd = stopTime === undefined ? Number.POSITIVE_INFINITY : stopTime - usualMs
  return Math.floor(Math.min(latestStart, latestEnd, request.deadline) - state.now)
}
