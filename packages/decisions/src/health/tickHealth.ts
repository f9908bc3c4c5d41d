import { millis } from '@lavenderturn/types'
import type { Work } from '../admission/AdmissionState'
import type { RouteTiming } from '../admission/RouteTiming'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { assessServer } from './assessServer'
import { observeLatency } from './Observation'
import { findReference, type ServiceReference } from './ServiceReference'
import { scheduleTick } from './watchServer'

/** A request that runs this many times longer than usual counts as slow before it has ended. */
const OVERDUE_FACTOR = 10

/**
 * It must also run this many times longer than any request of its route did of late. Without this, a route of which
 * one request in 20 takes 50 times longer had healthy servers ejected.
 */
const OVERDUE_OVER_SLOWEST = 1.5

/** Requests after which the longest service time of a route is known. */
const MIN_TIMINGS = 40

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
  if (!server.warm || work.cancelled === true) return
  const age = state.now - work.servedFrom
  const reference = findReference(state, server.service, work.endpoint)
  const overdueAge = findOverdueAge(server.timings.get(work.route), reference)
  if (age < (work.overdueMs === undefined ? overdueAge : 2 * work.overdueMs)) return
  work.overdueMs = age
  observeLatency(local.observation, age, reference?.serviceMs)
}

function findOverdueAge (timing: RouteTiming | undefined, reference: ServiceReference | undefined): number {
  if (timing === undefined || timing.samples < MIN_TIMINGS) return Infinity
  const usualMs = Math.max(Math.exp(timing.logMean), reference?.serviceMs ?? 0)
  return Math.max(LEAST_OVERDUE, OVERDUE_FACTOR * usualMs, OVERDUE_OVER_SLOWEST * timing.slowestMs)
}
