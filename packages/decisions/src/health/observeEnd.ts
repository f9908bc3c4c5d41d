import { millis } from '@lavenderturn/types'
import type { LocalServer } from '../admission/AdmissionState'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { assessServer } from './assessServer'
import { observeLatency, observeOutcome } from './Observation'
import { findReference } from './ServiceReference'

/** A cold server is slow: its service times are not judged before it is warm, or before this time has passed. */
const COLD_START_GRACE = millis(10_000)

/** A server is warm when its weighted service time after this many requests is near the usual one. */
const WARM = { samples: 20, slowdown: Math.log(1.5) }

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
  const reference = findReference(state, server.service, server.endpoint)
  observeOutcome(local.observation, failed, reference?.errorRate)
  server.warm ||= isWarm(state, server)
  if (serviceMs !== undefined && server.warm) observeLatency(local.observation, serviceMs, reference?.serviceMs)
  if (local.phase === 'trial') local.stepSuccesses = failed ? 0 : local.stepSuccesses + 1
  return assessServer(state, server, local)
}

function isWarm ({ now }: NodeState, { startedAt, limit }: LocalServer): boolean {
  if (!limit.slowStart || now - startedAt >= COLD_START_GRACE) return true
  return limit.samples >= WARM.samples && limit.slowdown <= WARM.slowdown
}
