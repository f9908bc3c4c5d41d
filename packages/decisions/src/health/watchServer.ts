import { millis, toId } from '@lavenderturn/types'
import type { LocalServer } from '../admission/AdmissionState'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { returnServer } from './ejectServer'
import { FIRST_TRIAL_DELAY } from './HealthState'
import { createObservation } from './Observation'

/** Interval at which overdue requests, permits and trials are looked at. */
const TICK_INTERVAL = millis(200)

/**
 * Starts to observe a backend server beside this node.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @returns effects
 * @internal
 */
export function watchServer (state: NodeState, server: LocalServer): NodeEffect[] {
  state.health.local.set(server.endpoint, {
    service: server.service,
    observation: createObservation(),
    verdict: 'healthy',
    phase: 'serving',
    asking: false,
    nextAskAt: state.now,
    trialAt: state.now,
    step: 0,
    stepSuccesses: 0,
    trialDelay: FIRST_TRIAL_DELAY,
    returnedAt: state.now
  })
  if (state.health.ticking) return []
  state.health.ticking = true
  return [scheduleTick()]
}

/**
 * @returns the effect that starts the next interval
 * @internal
 */
export function scheduleTick (): NodeEffect {
  return {
    slice: 'timer',
    type: 'set',
    id: toId('health/tick'),
    delay: TICK_INTERVAL,
    event: { slice: 'health', type: 'ticked' }
  }
}

/**
 * Forgets what was observed of a backend server that has started anew. The delay of its next trial is kept, so that a
 * server that fails after each restart is not trusted sooner.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @returns effects
 * @internal
 */
export function resetObservation (state: NodeState, server: LocalServer): NodeEffect[] {
  const local = state.health.local.get(server.endpoint)
  if (local === undefined) return []
  local.observation = createObservation()
  local.verdict = 'healthy'
  return local.phase === 'serving' ? [] : returnServer(state, server.endpoint, local, 'restarted')
}
