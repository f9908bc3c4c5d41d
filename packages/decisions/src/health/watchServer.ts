import { millis, toId } from '@lavenderturn/types'
import type { LocalServer } from '../admission/AdmissionState'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { returnServer } from './ejectServer'
import { INITIAL_TRIAL_DELAY } from './HealthState'
import { createObservation } from './Observation'

/** Interval at which overdue requests, permits and trials are checked. */
const TICK_INTERVAL = millis(200)

/**
 * Starts monitoring the health of a local backend server.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @returns effects
 * @internal
 */
export function watchServer (state: NodeState, server: LocalServer): NodeEffect[] {
  state.health.localServers.set(server.endpoint, {
    service: server.service,
    observation: createObservation(),
    verdict: 'healthy',
    phase: 'serving',
    permitRequestPending: false,
    nextPermitRequestAt: state.now,
    trialAt: state.now,
    trialStep: 0,
    stepSuccesses: 0,
    trialDelay: INITIAL_TRIAL_DELAY,
    returnedAt: state.now
  })
  if (state.health.ticking) return []
  state.health.ticking = true
  return [scheduleTick()]
}

/**
 * @returns the effect that sets the timer of the next tick
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
 * Discards the observations of a backend server that has restarted. The delay of its next trial is kept, so that a
 * server that fails after each restart does not return sooner.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @returns effects
 * @internal
 */
export function resetObservation (state: NodeState, server: LocalServer): NodeEffect[] {
  const health = state.health.localServers.get(server.endpoint)
  if (health === undefined) return []
  health.observation = createObservation()
  health.verdict = 'healthy'
  return health.phase === 'serving' ? [] : returnServer(state, server.endpoint, health, 'restarted')
}
