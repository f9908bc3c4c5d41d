import { millis } from '@lavenderturn/types'
import type { LocalServer } from '../admission/AdmissionState'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { assessServer } from './assessServer'
import { recordLatency, recordOutcome } from './Observation'
import { findReference } from './ServiceReference'

/**
 * Maximum warm-up time after a start. Service times are not recorded until the server is warm or this time has passed,
 * because a cold server is slow.
 */
const MAX_WARM_UP = millis(10_000)

/** A server is warm after this many requests if its moving average service time is close to the usual one. */
const WARM_THRESHOLD = { samples: 20, slowdown: Math.log(1.5) }

/** How a request ended at a backend server. @internal */
export interface ServedRequest {
  readonly failed: boolean
  /** Absent if the time is not representative. */
  readonly serviceMs?: number
}

/**
 * Records the end of a request at a backend server and evaluates the server.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @param served - how the request ended
 * @returns effects
 * @internal
 */
export function recordRequestEnd (
  state: NodeState,
  server: LocalServer,
  { failed, serviceMs }: ServedRequest
): NodeEffect[] {
  const health = state.health.localServers.get(server.endpoint)
  if (health === undefined) return []
  const reference = findReference(state, server.service, server.endpoint)
  recordOutcome(health.observation, failed, reference?.errorRate)
  server.warm ||= isWarm(state, server)
  if (serviceMs !== undefined && server.warm) recordLatency(health.observation, serviceMs, reference?.serviceMs)
  if (health.phase === 'trial') health.stepSuccesses = failed ? 0 : health.stepSuccesses + 1
  return assessServer(state, server, health)
}

function isWarm ({ now }: NodeState, { startedAt, limit }: LocalServer): boolean {
  if (!limit.slowStart || now - startedAt >= MAX_WARM_UP) return true
  return limit.samples >= WARM_THRESHOLD.samples && limit.slowdown <= WARM_THRESHOLD.slowdown
}
