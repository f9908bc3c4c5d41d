import type { MeshState } from '../MeshState'
import { countCrashes } from '../quarantine/isQuarantined'
import type { GatewayRequest } from './GatewayState'
import { withdrawRetry } from './retryBudget'
import { findRouteTime } from './routeTimes'

/**
 * Takes another attempt for a request that may already have run, if its route allows one more.
 *
 * @param state - the node's state
 * @param request - a repeatable request
 * @returns whether it may be sent again
 * @internal
 */
export function claimRepeat (state: MeshState, request: GatewayRequest): boolean {
  return request.sentTo.size < request.route.maxAttempts && claimRetry(state, request)
}

/**
 * Takes another attempt from the retry budget if the request may be sent again and has time left.
 *
 * @param state - the node's state
 * @param request - a request
 * @returns whether it may be sent again
 * @internal
 */
export function claimRetry (state: MeshState, request: GatewayRequest): boolean {
  // A request that was running when a server crashed may have caused the crash.
  if (countCrashes(state, request.fingerprint) > 0) return false
  const usualMs = findRouteTime(state, request) ?? 0
  if (state.now + usualMs > request.deadline) return false
  return withdrawRetry(state, request.service)
}
