import { millis } from '@lavenderturn/types'
import type { Work } from '../admission/AdmissionState'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { assessServer } from './assessServer'
import { observeLatency } from './Observation'
import { isStarting } from './observeEnd'
import { findReference } from './ServiceReference'
import { scheduleTick } from './watchServer'

/** A request that runs this many times longer than usual counts as slow before it has ended. */
const OVERDUE_FACTOR = 10

/** No request is overdue before this time. */
const LEAST_OVERDUE = millis(50)

/** Interval of connection attempts to a backend server that refused one. */
const PROBE_INTERVAL = millis(1_000)

/**
 * Looks at what no response reports: requests that do not end, permits and trials that are due, servers that refuse
 * connections.
 *
 * @param state - the node's state
 * @returns effects
 * @internal
 */
export function tickHealth (state: NodeState): NodeEffect[] {
  if (state.admission.servers.size === 0) {
    state.health.ticking = false
    return []
  }
  for (const work of state.admission.work.values()) observeOverdue(state, work)
  const effects: NodeEffect[] = [scheduleTick()]
  for (const server of state.admission.servers.values()) {
    const local = state.health.local.get(server.endpoint)
    if (local !== undefined) effects.push(...assessServer(state, server, local))
    if (server.reachable || state.now < server.probeAt) continue
    server.probeAt = millis(state.now + PROBE_INTERVAL)
    effects.push({ slice: 'health', type: 'probeServer', endpoint: server.endpoint, address: server.address })
  }
  return effects
}

/** Counts a long request again each time its age has doubled, so that a server that hangs is noticed. */
function observeOverdue (state: NodeState, work: Work): void {
  const server = state.admission.servers.get(work.endpoint)
  const local = state.health.local.get(work.endpoint)
  if (work.servedFrom === undefined || server === undefined || local === undefined) return
  if (isStarting(state, server) || work.cancelled === true) return
  const age = state.now - work.servedFrom
  if (age < (work.overdueMs === undefined ? findOverdueAge(state, work) : 2 * work.overdueMs)) return
  work.overdueMs = age
  observeLatency(local.observation, age)
}

function findOverdueAge (state: NodeState, work: Work): number {
  const server = state.admission.servers.get(work.endpoint)!
  const timing = server.timings.get(work.route)
  const reference = findReference(state, server.service, work.endpoint)
  if (timing === undefined && reference === undefined) return Infinity
  const usualMs = Math.max(timing === undefined ? 0 : Math.exp(timing.logMean), reference?.serviceMs ?? 0)
  return Math.max(LEAST_OVERDUE, OVERDUE_FACTOR * usualMs)
}
