import { millis } from '@lavenderturn/types'
import type { Work } from '../admission/AdmissionState'
import type { RouteTiming } from '../admission/RouteTiming'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { assessServer } from './assessServer'
import { recordLatency } from './Observation'
import { findReference, type ServiceReference } from './ServiceReference'
import { scheduleTick } from './watchServer'

/** A running request counts as slow once it has taken this many times the usual service time. */
const OVERDUE_RATIO = 10

/**
 * It must also have taken this many times the longest recent service time of its route. Without this condition, healthy
 * servers were ejected because of a route on which one request in 20 took 50 times longer.
 */
const OVERDUE_SLOWEST_RATIO = 1.5

/** Minimum number of requests before the longest service time of a route is considered known. */
const MIN_TIMINGS = 40

/** Minimum running time of an overdue request. */
const MIN_OVERDUE_AGE = millis(50)

/** Interval of connection probes to a backend server that is not reachable. */
const PROBE_INTERVAL = millis(1_000)

/**
 * Handles what is not triggered by a response: overdue requests, permits and trials that are due, and probes of
 * backend servers that are not reachable.
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
  for (const work of state.admission.work.values()) recordOverdue(state, work)
  const effects: NodeEffect[] = [scheduleTick()]
  for (const server of state.admission.servers.values()) {
    const health = state.health.localServers.get(server.endpoint)
    if (health !== undefined) effects.push(...assessServer(state, server, health))
    if (server.reachable || state.now < server.probeAt) continue
    server.probeAt = millis(state.now + PROBE_INTERVAL)
    effects.push({ slice: 'health', type: 'probeServer', endpoint: server.endpoint, address: server.address })
  }
  return effects
}

/** Records an overdue request, and again each time its age has doubled, so that a server that hangs is detected. */
function recordOverdue (state: NodeState, work: Work): void {
  const server = state.admission.servers.get(work.endpoint)
  const health = state.health.localServers.get(work.endpoint)
  if (work.serviceStartedAt === undefined || server === undefined || health === undefined) return
  if (!server.warm || work.cancelled === true) return
  const age = state.now - work.serviceStartedAt
  const reference = findReference(state, server.service, work.endpoint)
  const overdueAge = findOverdueAge(server.timings.get(work.route), reference)
  if (age < (work.overdueMs === undefined ? overdueAge : 2 * work.overdueMs)) return
  work.overdueMs = age
  recordLatency(health.observation, age, reference?.serviceMs)
}

function findOverdueAge (timing: RouteTiming | undefined, reference: ServiceReference | undefined): number {
  if (timing === undefined || timing.samples < MIN_TIMINGS) return Infinity
  const referenceMs = Math.max(Math.exp(timing.logMean), reference?.serviceMs ?? 0)
  return Math.max(MIN_OVERDUE_AGE, OVERDUE_RATIO * referenceMs, OVERDUE_SLOWEST_RATIO * timing.slowestMs)
}
