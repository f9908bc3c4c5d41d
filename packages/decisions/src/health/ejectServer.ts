import { type EndpointId, type Millis, millis } from '@lavenderturn/types'
import type { LocalServer } from '../admission/AdmissionState'
import { rejectQueue } from '../admission/rejectWork'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { FIRST_TRIAL_DELAY, type LocalHealth } from './HealthState'
import { createObservation } from './Observation'
import { releasePermit } from './permitHolder'
import { TRIAL_STEPS } from './trialSteps'

/** Longest wait between an ejection and its trial. */
const LONGEST_TRIAL_DELAY = millis(64_000)

/** Time in service after which the next trial's delay is halved. Slower than flapping, which must not reset it. */
const DELAY_HALF_LIFE = millis(30_000)

/**
 * Takes a sick backend server out of service. The caller holds a permit.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @param local - what is known of its health
 * @returns effects
 * @internal
 */
export function ejectServer (state: NodeState, server: LocalServer, local: LocalHealth): NodeEffect[] {
  local.trialDelay = decayDelay(local.trialDelay, millis(state.now - local.returnedAt))
  const { logMean, errorRate, errorsInRow } = local.observation
  const serviceMs = Math.round(Math.exp(logMean))
  const fields = { endpoint: server.endpoint, serviceMs, errorRate: Number(errorRate.toFixed(2)), errorsInRow }
  return [
    { slice: 'log', type: 'stateChanged', message: 'backend server ejected', fields },
    ...closeServer(state, server, local)
  ]
}

/**
 * Ejects a backend server again whose trial failed.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @param local - what is known of its health
 * @returns effects
 * @internal
 */
export function failTrial (state: NodeState, server: LocalServer, local: LocalHealth): NodeEffect[] {
  return closeServer(state, server, local)
}

function closeServer (state: NodeState, server: LocalServer, local: LocalHealth): NodeEffect[] {
  local.phase = 'ejected'
  local.verdict = 'sick'
  local.trialAt = millis(state.now + local.trialDelay)
  local.trialDelay = millis(Math.min(LONGEST_TRIAL_DELAY, local.trialDelay * 2))
  return rejectQueue(state, server, 'noEndpoint')
}

/**
 * Starts the trial of an ejected backend server with a part of its traffic and a concurrency limit of 1.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @param local - what is known of its health
 * @returns effects
 * @internal
 */
export function startTrial (state: NodeState, server: LocalServer, local: LocalHealth): NodeEffect[] {
  local.phase = 'trial'
  local.step = 0
  local.stepSuccesses = 0
  local.observation = createObservation()
  server.limit = state.policies.concurrency.start(server.slots, state.now)
  return []
}

/**
 * Goes on to the next step of a trial when the present one has had its successes.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @param local - what is known of its health
 * @returns effects
 * @internal
 */
export function endTrialStep (state: NodeState, server: LocalServer, local: LocalHealth): NodeEffect[] {
  if (local.stepSuccesses < TRIAL_STEPS[local.step]!.successes) return []
  local.step += 1
  local.stepSuccesses = 0
  return local.step < TRIAL_STEPS.length ? [] : returnServer(state, server.endpoint, local, 'trial passed')
}

/**
 * Puts a backend server back into service and gives its permit back.
 *
 * @param state - the node's state
 * @param endpoint - the backend server
 * @param local - what is known of its health
 * @param reason - why it returns
 * @returns effects
 * @internal
 */
export function returnServer (
  state: NodeState,
  endpoint: EndpointId,
  local: LocalHealth,
  reason: 'trial passed' | 'restarted' | 'permit expired' | 'floor'
): NodeEffect[] {
  local.phase = 'serving'
  local.returnedAt = state.now
  if (reason === 'trial passed') local.verdict = 'healthy'
  const effects = releasePermit(state, endpoint, local)
  return [
    { slice: 'log', type: 'stateChanged', message: 'backend server returned', fields: { endpoint, reason } },
    ...effects
  ]
}

/**
 * @param delay - a delay that doubles with each failure
 * @param quiet - time without a failure
 * @returns the delay, halved for each `DELAY_HALF_LIFE` of quiet
 * @internal
 */
export function decayDelay (delay: Millis, quiet: Millis): Millis {
  return millis(Math.max(FIRST_TRIAL_DELAY, delay / 2 ** (Math.max(0, quiet) / DELAY_HALF_LIFE)))
}
