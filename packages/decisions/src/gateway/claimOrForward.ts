import { claimKey } from '../idempotency/claimKey'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { forwardRequest } from './forwardRequest'
import type { GatewayRequest } from './GatewayState'

/**
 * Claims the idempotency key of a request that may not be repeated, or forwards at once.
 *
 * @param state - the node's state
 * @param request - a request whose team has paid
 * @returns effects
 * @internal
 */
export function claimOrForward (state: NodeState, request: GatewayRequest): NodeEffect[] {
  if (request.idempotencyKey === undefined || request.route.repeatable) return forwardRequest(state, request)
  request.phase = 'claiming'
  return claimKey(state, request)
}
