import { millis } from '@lavenderturn/types'
import type { LocalServer } from '../admission/AdmissionState'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { assessServer } from './assessServer'
import { observeLatency, observeOutcome } from './Observation'

/** Service times are not judged for this long after a start while the limit still grows: a cold server is slow. */
const COLD_START_GRACE = millis(10_000)

/** How a request ended at a backend server. @internal */
export interface ServedRequest {
  readonly failed: boolean
  /** Absent when the time says nothing. */
  readonly serviceMs?: number
}

/**
 * Takes the end of a request at a backend server into account.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @param served - how the request ended
 * @returns effects
 * @internal
 */
export function observeEnd (
  state: NodeState,
  server: LocalServer,
  { failed, serviceMs }: ServedRequest
): NodeEffect[] {
  const local = state.health.local.get(server.endpoint)
  if (local === undefined) return []
  observeOutcome(local.observation, failed)
  if (serviceMs !== undefined && !isStarting(state, server)) observeLatency(local.observation, serviceMs)
  if (local.phase === 'trial') local.stepSuccesses = failed ? 0 : local.stepSuccesses + 1
  return assessServer(state, server, local)
}

/**
 * @param state - the node's state
 * @param server - a backend server
 * @returns whether its service time may be that of a cold start
 * @internal
 */
export function isStarting (state: NodeState, server: LocalServer): boolean {
  return server.limit.slowStart && state.now - server.startedAt < COLD_START_GRACE
}
