import { type EndpointId, type Millis, millis } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import { findLoad } from './findLoad'
import { TRIAL_STEPS } from './trialSteps'

/**
 * Finds the fraction of its usual traffic that a gateway sends to an endpoint. An endpoint whose trial must have
 * started since its last load report gets the share of the first trial step. One without a recent report gets all.
 *
 * @param state - the node's state
 * @param endpoint - the endpoint
 * @returns the fraction, from 0 (ejected) to 1
 * @internal
 */
export function findTrafficShare (state: NodeState, endpoint: EndpointId): number {
  const load = findLoad(state, endpoint)
  if (load === undefined) return 1
  if (load.share > 0) return load.share
  return reportAgeOf(state, endpoint) < load.resumeAfter ? 0 : TRIAL_STEPS[0]!.share
}

function reportAgeOf ({ health, now }: NodeState, endpoint: EndpointId): Millis {
  return millis(now - health.loads.get(endpoint)!.at)
}
