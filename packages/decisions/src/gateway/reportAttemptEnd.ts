import { millis } from '@lavenderturn/types'
import type { AttemptOutcome } from '../health/HealthEvent'
import type { LoadReport } from '../health/LoadReport'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { raise } from '../raise'
import type { GatewayRequest } from './GatewayState'

/**
 * Reports the end of a request's current attempt to the health slice; does nothing if it has been reported before.
 *
 * @param state - the node's state
 * @param request - the request
 * @param outcome - how the attempt ended
 * @param load - the load report received with the response, if any
 * @returns effects
 * @internal
 */
export function reportAttemptEnd (
  state: NodeState,
  request: GatewayRequest,
  outcome: AttemptOutcome,
  load?: LoadReport
): NodeEffect[] {
  if (request.forwardedAttempt === undefined) return []
  const { endpoint, node, at } = request.forwardedAttempt
  request.forwardedAttempt = undefined
  return [raise({
    slice: 'health', type: 'attemptEnded', endpoint, node, outcome, latency: millis(state.now - at), load
  })]
}
