import { type EndpointId, type Millis, millis } from '@lavenderturn/types'
import type { LocalServer } from '../admission/AdmissionState'
import { rejectQueue } from '../admission/rejectWork'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { INITIAL_TRIAL_DELAY, type LocalHealth } from './HealthState'
import { createObservation } from './Observation'
import { releasePermit } from './permitHolder'
import { TRIAL_STEPS } from './trialSteps'

/** Maximum delay between an ejection and its trial. */
const MAX_TRIAL_DELAY = millis(64_000)

/**
 * Time without a failure that halves a backoff delay. It is longer than the period of a flapping server, which must not
 * reset the delay.
 */
const BACKOFF_HALF_LIFE = millis(30_000)

/**
 * Takes an unhealthy backend server out of service. Requires a permit.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @param health - the server's health
 * @returns effects
 * @internal
 */
export function ejectServer (state: NodeState, server: LocalServer, health: LocalHealth): NodeEffect[] {
  health.trialDelay = decayBackoff(health.trialDelay, millis(state.now - health.returnedAt))
  const { logMean, errorRate, errorsInRow } = health.observation
  const serviceMs = Math.round(Math.exp(logMean))
  const fields = { endpoint: server.endpoint, serviceMs, errorRate: Number(errorRate.toFixed(2)), errorsInRow }
  return [
    { slice: 'log', type: 'stateChanged', message: 'backend server ejected', fields },
    ...takeOutOfService(state, server, health)
  ]
}

/**
 * Ejects a backend server again after a failed trial.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @param health - the server's health
 * @returns effects
 * @internal
 */
export function failTrial (state: NodeState, server: LocalServer, health: LocalHealth): NodeEffect[] {
  return takeOutOfService(state, server, health)
}

function takeOutOfService (state: NodeState, server: LocalServer, health: LocalHealth): NodeEffect[] {
  health.phase = 'ejected'
  health.verdict = 'sick'
  health.trialAt = millis(state.now + health.trialDelay)
  health.trialDelay = millis(Math.min(MAX_TRIAL_DELAY, health.trialDelay * 2))
  return rejectQueue(state, server, 'noEndpoint')
}

/**
 * Starts the trial of an ejected backend server, with a fraction of its traffic and a concurrency limit of 1.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @param health - the server's health
 * @returns effects
 * @internal
 */
export function startTrial (state: NodeState, server: LocalServer, health: LocalHealth): NodeEffect[] {
  health.phase = 'trial'
  health.trialStep = 0
  health.stepSuccesses = 0
  health.observation = createObservation()
  server.limit = state.policies.concurrency.start(server.slots, state.now)
  return []
}

/**
 * Advances a trial to its next step if the current one has enough successes; the last step returns the server to
 * service.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @param health - the server's health
 * @returns effects
 * @internal
 */
export function advanceTrial (state: NodeState, server: LocalServer, health: LocalHealth): NodeEffect[] {
  if (health.stepSuccesses < TRIAL_STEPS[health.trialStep]!.successes) return []
  health.trialStep += 1
  health.stepSuccesses = 0
  return health.trialStep < TRIAL_STEPS.length ? [] : returnServer(state, server.endpoint, health, 'trial passed')
}

/**
 * Returns a backend server to service and releases its permit.
 *
 * @param state - the node's state
 * @param endpoint - the backend server
 * @param health - the server's health
 * @param reason - why it returns
 * @returns effects
 * @internal
 */
export function returnServer (
  state: NodeState,
  endpoint: EndpointId,
  health: LocalHealth,
  reason: 'trial passed' | 'restarted' | 'permit expired' | 'floor'
): NodeEffect[] {
  health.phase = 'serving'
  health.returnedAt = state.now
  if (reason === 'trial passed') health.verdict = 'healthy'
  const effects = releasePermit(state, endpoint, health)
  return [
    { slice: 'log', type: 'stateChanged', message: 'backend server returned', fields: { endpoint, reason } },
    ...effects
  ]
}

/**
 * Reduces a backoff delay according to the time without a failure.
 *
 * @param delay - a delay that doubles with each failure
 * @param timeWithoutFailure - time since the server returned to service or the path was used again
 * @returns the delay, halved for each `BACKOFF_HALF_LIFE` without a failure, but at least `INITIAL_TRIAL_DELAY`
 * @internal
 */
export function decayBackoff (delay: Millis, timeWithoutFailure: Millis): Millis {
  return millis(Math.max(INITIAL_TRIAL_DELAY, delay / 2 ** (Math.max(0, timeWithoutFailure) / BACKOFF_HALF_LIFE)))
}
