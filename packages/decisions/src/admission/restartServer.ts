import { resetObservation } from '../health/watchServer'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { LocalServer } from './AdmissionState'

/**
 * Treats a backend server as cold: its concurrency limit starts anew, and earlier observations are discarded.
 *
 * @param state - the node's state
 * @param server - the backend server
 * @returns effects
 * @internal
 */
export function restartServer (state: NodeState, server: LocalServer): NodeEffect[] {
  server.reachable = true
  server.startedAt = state.now
  server.warm = false
  server.limit = state.policies.concurrency.start(server.slots, state.now)
  return resetObservation(state, server)
}
