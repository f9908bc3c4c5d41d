import type { LocalServer } from '../admission/AdmissionState'
import type { NodeState } from '../NodeState'
import { TRIAL_STEPS } from './trialSteps'

/**
 * Decides whether a backend server accepts an arriving attempt. A gateway that does not know of the ejection yet gets
 * its attempt back as not run, together with a load report.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @returns false while the server is ejected, and in the first steps of a trial while it is at its concurrency limit
 * @internal
 */
export function acceptsTraffic (state: NodeState, server: LocalServer): boolean {
  const health = state.health.localServers.get(server.endpoint)
  if (health === undefined || health.phase === 'serving') return true
  if (health.phase === 'ejected') return false
  return TRIAL_STEPS[health.trialStep]!.share === 1 || server.inFlight < server.limit.limit
}
