import { type EndpointId, type Millis, millis } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import { findLoad } from './findLoad'
import { TRIAL_STEPS } from './trialSteps'

/**
 * Tells what part of its usual traffic a gateway sends to an endpoint. An endpoint whose trial has begun since its
 * last report gets the share of the first step; one that has not reported for long counts as unknown and gets all.
 *
 * @param state - the node's state
 * @param endpoint - the endpoint
 * @returns the part, from 0 (ejected) to 1
 * @internal
 */
export function readShare (state: NodeState, endpoint: EndpointId): number {
  const load = findLoad(state, endpoint)
  if (load === undefined) return 1
  if (load.share > 0) return load.share
  return ageOf(state, endpoint) < load.resumeAfter ? 0 : TRIAL_STEPS[0]!.share
}

function ageOf ({ health, now }: NodeState, endpoint: EndpointId): Millis {
  return millis(now - health.loads.get(endpoint)!.at)
}
