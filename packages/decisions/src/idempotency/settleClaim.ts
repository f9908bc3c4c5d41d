import type { GatewayRequest } from '../gateway/GatewayState'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'

/** How a claimed request ended: it ran and was answered, it never ran, or nobody knows. @public */
export type ClaimOutcome =
  | { readonly kind: 'answered', readonly status: number }
  | { readonly kind: 'not-run' }
  | { readonly kind: 'unknown' }

/**
 * Tells the owners how a claimed request ended, so that a resend gets a true answer.
 *
 * @param state - the node's state
 * @param request - the request; one without a claim is ignored
 * @param outcome - how it ended
 * @returns effects
 * @public
 */
export function settleClaim (state: NodeState, request: GatewayRequest, outcome: ClaimOutcome): NodeEffect[] {
  return []
}
