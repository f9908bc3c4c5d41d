import { type AttemptId, type EndpointId, millis } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import type { LocalHealth } from './HealthState'
import type { LoadReport } from './LoadReport'
import { TRIAL_STEPS } from './trialSteps'

/** Service times before their mean is reported. */
const MIN_LATENCIES = 5

/**
 * Describes a backend server beside this node for the gateways.
 *
 * @param state - the node's state
 * @param endpoint - the backend server
 * @param attemptId - the attempt that the report answers
 * @returns the report, or undefined when the server is not announced here
 * @public
 */
export function describeLoad (
  state: Readonly<NodeState>,
  endpoint: EndpointId,
  attemptId?: AttemptId
): LoadReport | undefined {
  const server = state.admission.servers.get(endpoint)
  const local = state.health.local.get(endpoint)
  if (server === undefined || local === undefined) return undefined
  const work = attemptId === undefined ? undefined : state.admission.work.get(attemptId)
  const { observation } = local
  return {
    slots: server.slots,
    limit: server.limit.limit,
    inFlight: server.inFlight,
    queued: server.queues.size,
    verdict: local.verdict,
    share: shareOf(local),
    resumeAfter: millis(local.phase === 'ejected' ? Math.max(0, local.trialAt - state.now) : 0),
    serviceMs: observation.latencies < MIN_LATENCIES ? undefined : Math.exp(observation.logMean),
    errorRate: observation.errorRate,
    heldFor: work === undefined ? undefined : millis(state.now - work.arrivedAt)
  }
}

function shareOf ({ phase, step }: LocalHealth): number {
  if (phase === 'serving') return 1
  return phase === 'ejected' ? 0 : TRIAL_STEPS[step]!.share
}
