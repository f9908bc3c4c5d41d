import type { LocalServer } from '../admission/AdmissionState'
import type { NodeState } from '../NodeState'
import { TRIAL_STEPS } from './trialSteps'

/**
 * Tells whether an arriving attempt is let in. Gateways that have not heard of the ejection get their attempt back as
 * not run, together with a load report.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @returns false while the server is ejected, and in the first steps of a trial when it is busy
 * @internal
 */
export function acceptsTraffic (state: NodeState, server: LocalServer): boolean {
  const local = state.health.local.get(server.endpoint)
  if (local === undefined || local.phase === 'serving') return true
  if (local.phase === 'ejected') return false
  return TRIAL_STEPS[local.step]!.share === 1 || server.inFlight < server.limit.limit
}
