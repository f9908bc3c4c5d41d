import { claimKey } from '../idempotency/claimKey'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { forwardRequest } from './forwardRequest'
import type { GatewayRequest } from './GatewayState'

/**
 * Forwards a request, after claiming its idempotency key if it has one and its route is not repeatable.
 *
 * @param state - the node's state
 * @param request - a request that has passed the rate limit
 * @returns effects
 * @internal
 */
export function claimOrForward (state: NodeState, request: GatewayRequest): NodeEffect[] {
  if (request.idempotencyKey === undefined || request.route.repeatable) return forwardRequest(state, request)
  request.phase = 'claiming'
  return claimKey(state, request)
}
