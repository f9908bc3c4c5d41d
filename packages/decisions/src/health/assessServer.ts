import type { LocalServer } from '../admission/AdmissionState'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { advanceTrial, failTrial, returnServer, startTrial } from './ejectServer'
import type { LocalHealth } from './HealthState'
import { askPermit, mayAskPermit, needsRenewal } from './permitHolder'
import { findReference } from './ServiceReference'

/**
 * Evaluates a backend server and takes the action that is due: requests or renews a permit, starts, advances or ends a
 * trial, or returns the server to service.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @param health - the server's health
 * @returns effects
 * @internal
 */
export function assessServer (state: NodeState, server: LocalServer, health: LocalHealth): NodeEffect[] {
  if (health.phase === 'serving') return assessServing(state, server, health)
  if (health.permitExpiresAt === undefined || state.now >= health.permitExpiresAt) {
    return returnServer(state, server.endpoint, health, 'permit expired')
  }
  const effects = needsRenewal(state, health) ? askPermit(state, server.endpoint, health) : []
  if (health.phase === 'trial') return effects.concat(assessTrial(state, server, health))
  return state.now < health.trialAt ? effects : effects.concat(startTrial(state, server, health))
}

function assessServing (state: NodeState, server: LocalServer, health: LocalHealth): NodeEffect[] {
  const reference = findReference(state, server.service, server.endpoint)
  health.verdict = state.policies.ejection.isUnhealthy(health.observation, reference) ? 'sick' : 'healthy'
  if (health.verdict === 'healthy' || !mayAskPermit(state, health)) return []
  return askPermit(state, server.endpoint, health)
}

function assessTrial (state: NodeState, server: LocalServer, health: LocalHealth): NodeEffect[] {
  const reference = findReference(state, server.service, server.endpoint)
  if (state.policies.ejection.failsTrial(health.observation, reference)) return failTrial(state, server, health)
  return advanceTrial(state, server, health)
}
