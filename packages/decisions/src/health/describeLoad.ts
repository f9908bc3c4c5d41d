import { type AttemptId, type EndpointId, millis } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import type { LocalHealth } from './HealthState'
import type { LoadReport } from './LoadReport'
import { TRIAL_STEPS } from './trialSteps'

/** Minimum number of service times before their mean is reported. */
const MIN_LATENCY_SAMPLES = 5

/**
 * Builds the load report of a local backend server for the gateways.
 *
 * @param state - the node's state
 * @param endpoint - the backend server
 * @param attemptId - the attempt that the report is sent with
 * @returns the report, or undefined if the server is not announced at this node
 * @public
 */
export function describeLoad (
  state: Readonly<NodeState>,
  endpoint: EndpointId,
  attemptId?: AttemptId
): LoadReport | undefined {
  const server = state.admission.servers.get(endpoint)
  const health = state.health.localServers.get(endpoint)
  if (server === undefined || health === undefined) return undefined
  const work = attemptId === undefined ? undefined : state.admission.work.get(attemptId)
  const { observation } = health
  return {
    slots: server.slots,
    limit: server.limit.limit,
    inFlight: server.inFlight,
    queued: server.queues.size,
    verdict: health.verdict,
    share: trafficShareOf(health),
    resumeAfter: millis(health.phase === 'ejected' ? Math.max(0, health.trialAt - state.now) : 0),
    serviceMs: observation.latencySamples < MIN_LATENCY_SAMPLES ? undefined : Math.exp(observation.logMean),
    errorRate: observation.errorRate,
    heldFor: work === undefined ? undefined : millis(state.now - work.arrivedAt)
  }
}

function trafficShareOf ({ phase, trialStep }: LocalHealth): number {
  if (phase === 'serving') return 1
  return phase === 'ejected' ? 0 : TRIAL_STEPS[trialStep]!.share
}
