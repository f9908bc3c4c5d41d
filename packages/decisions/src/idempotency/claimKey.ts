import type { GatewayRequest } from '../gateway/GatewayState'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { raise } from '../raise'

/**
 * Asks the owners to record a request's idempotency key. `gateway/claimed` or `gateway/claimRefused` follows.
 *
 * @param state - the node's state
 * @param request - a request with an idempotency key
 * @returns effects
 * @public
 */
export function claimKey (state: NodeState, request: GatewayRequest): NodeEffect[] {
  return [raise({ slice: 'gateway', type: 'claimed', requestId: request.id })]
}
