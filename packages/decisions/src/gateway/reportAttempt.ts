import { millis } from '@lavenderturn/types'
import type { AttemptOutcome } from '../health/HealthEvent'
import type { LoadReport } from '../health/LoadReport'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { raise } from '../raise'
import type { GatewayRequest } from './GatewayState'

/**
 * Reports the end of a request's present attempt to health, once.
 *
 * @param state - the node's state
 * @param request - the request
 * @param outcome - how the attempt ended
 * @param load - the load report that came with it
 * @returns effects
 * @internal
 */
export function reportAttempt (
  state: NodeState,
  request: GatewayRequest,
  outcome: AttemptOutcome,
  load?: LoadReport
): NodeEffect[] {
  if (request.forwarded === undefined) return []
  const { endpoint, node, at } = request.forwarded
  request.forwarded = undefined
  return [raise({
    slice: 'health', type: 'attemptEnded', endpoint, node, outcome, latency: millis(state.now - at), load
  })]
}
