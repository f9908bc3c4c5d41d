import { toId } from '@lavenderturn/types'
import { type ClaimOutcome, settleClaim } from '../idempotency/settleClaim'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { GatewayRequest } from './GatewayState'
import { reportAttemptEnd } from './reportAttemptEnd'

/**
 * Removes a request from the state and cancels its attempt if one is still running.
 *
 * @param state - the node's state
 * @param request - the request
 * @param outcome - how the request ended, for the owners of its idempotency key
 * @returns effects
 * @internal
 */
export function endRequest (state: NodeState, request: GatewayRequest, outcome: ClaimOutcome): NodeEffect[] {
  state.gateway.requests.delete(request.id)
  const effects: NodeEffect[] = [{ slice: 'timer', type: 'clear', id: toId(`deadline/${request.id}`) }]
  effects.push(...reportAttemptEnd(state, request, { kind: 'cancelled' }))
  if (request.attempt !== undefined) {
    effects.push({ slice: 'gateway', type: 'cancelForward', requestId: request.id, attemptId: request.attempt })
  }
  return effects.concat(settleClaim(state, request, outcome))
}
