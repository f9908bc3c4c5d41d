import type { LocalServer } from '../admission/AdmissionState'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { endTrialStep, failTrial, returnServer, startTrial } from './ejectServer'
import type { LocalHealth } from './HealthState'
import { askPermit, mayAsk, needsRenewal } from './permitHolder'
import { findReference } from './ServiceReference'

/**
 * Judges a backend server and does what the time asks for: request or renew a permit, start, continue or end a trial.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @param local - what is known of its health
 * @returns effects
 * @internal
 */
export function assessServer (state: NodeState, server: LocalServer, local: LocalHealth): NodeEffect[] {
  if (local.phase === 'serving') return assessServing(state, server, local)
  if (local.permitUntil === undefined || state.now >= local.permitUntil) {
    return returnServer(state, server.endpoint, local, 'permit expired')
  }
  const effects = needsRenewal(state, local) ? askPermit(state, server.endpoint, local) : []
  if (local.phase === 'trial') return effects.concat(assessTrial(state, server, local))
  return state.now < local.trialAt ? effects : effects.concat(startTrial(state, server, local))
}

function assessServing (state: NodeState, server: LocalServer, local: LocalHealth): NodeEffect[] {
  const reference = findReference(state, server.service, server.endpoint)
  local.verdict = state.policies.ejection.isSick(local.observation, reference) ? 'sick' : 'healthy'
  if (local.verdict === 'healthy' || !mayAsk(state, local)) return []
  return askPermit(state, server.endpoint, local)
}

function assessTrial (state: NodeState, server: LocalServer, local: LocalHealth): NodeEffect[] {
  const reference = findReference(state, server.service, server.endpoint)
  if (state.policies.ejection.failsTrial(local.observation, reference)) return failTrial(state, server, local)
  return endTrialStep(state, server, local)
}
