import { type EndpointId, millis, type NodeId } from '@lavenderturn/types'
import type { FailureReason } from '../gateway/GatewayEvent'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { decayBackoff } from './ejectServer'
import type { AttemptEnded } from './HealthEvent'
import { INITIAL_TRIAL_DELAY, type PathHealth } from './HealthState'

/** Maximum number of load reports and of paths that a gateway keeps; the least recently used are evicted first. */
const MAX_ENTRIES = 4_096

/** Number of failures since the last reply from which a path is avoided. */
const FAILURE_THRESHOLD = 3

/**
 * Failures after which a path is avoided at once: no connection was possible, or one stalled while a probe over a fresh
 * connection worked.
 */
const CONCLUSIVE_FAILURES: ReadonlySet<FailureReason> = new Set(['connect', 'silent'])

/** Maximum time for which a path is avoided before it is tried again. */
const MAX_AVOIDANCE = millis(64_000)

/** Smoothing factor of the moving average of the overhead. */
const OVERHEAD_WEIGHT = 0.1
const MIN_OVERHEAD_SAMPLES = 10

/** A path with less overhead than this is not degraded, whatever the overhead of the others. */
const MIN_DEGRADED_OVERHEAD_MS = 50

/** Ratio of the overhead to the median of the other paths from which a path is degraded. */
const DEGRADED_OVERHEAD_RATIO = 5

/**
 * Counts an attempt that is being sent to an endpoint.
 *
 * @param state - the node's state
 * @param endpoint - the endpoint
 * @internal
 */
export function incrementOutstanding ({ health }: NodeState, endpoint: EndpointId): void {
  health.outstanding.set(endpoint, (health.outstanding.get(endpoint) ?? 0) + 1)
}

/**
 * Updates the endpoint's load and the health of the path to its node when an attempt has ended.
 *
 * @param state - the node's state
 * @param event - the end of the attempt
 * @returns effects
 * @internal
 */
export function handleAttemptEnded (state: NodeState, event: AttemptEnded): NodeEffect[] {
  const { endpoint, load, outcome } = event
  const outstanding = (state.health.outstanding.get(endpoint) ?? 1) - 1
  if (outstanding > 0) state.health.outstanding.set(endpoint, outstanding)
  else state.health.outstanding.delete(endpoint)
  if (load !== undefined) setMostRecent(state.health.loads, endpoint, { load, at: state.now })
  if (outcome.kind === 'cancelled') return []
  const path = findOrCreatePath(state, event.node)
  if (outcome.kind === 'failed') return handleFailure(state, path, event.node, outcome.reason)
  path.consecutiveFailures = 0
  return load?.heldFor === undefined ? [] : recordOverhead(state, path, event.node, event.latency - load.heldFor)
}

function findOrCreatePath ({ health, now }: NodeState, node: NodeId): PathHealth {
  const path = health.paths.get(node) ??
    { consecutiveFailures: 0, overheadMs: 0, samples: 0, avoidUntil: now, avoidFor: INITIAL_TRIAL_DELAY }
  setMostRecent(health.paths, node, path)
  return path
}

/** Sets an entry and moves it to the end of the map, whose order is the order of use. */
function setMostRecent<Key, Value> (entries: Map<Key, Value>, key: Key, value: Value): void {
  entries.delete(key)
  entries.set(key, value)
  if (entries.size > MAX_ENTRIES) entries.delete(entries.keys().next().value!)
}

function handleFailure (state: NodeState, path: PathHealth, node: NodeId, reason: FailureReason): NodeEffect[] {
  path.consecutiveFailures += CONCLUSIVE_FAILURES.has(reason) ? FAILURE_THRESHOLD : 1
  return path.consecutiveFailures >= FAILURE_THRESHOLD ? avoidPath(state, path, node, reason) : []
}

function recordOverhead (state: NodeState, path: PathHealth, node: NodeId, overheadMs: number): NodeEffect[] {
  path.samples += 1
  path.overheadMs += (overheadMs - path.overheadMs) * Math.max(OVERHEAD_WEIGHT, 1 / path.samples)
  if (path.samples < MIN_OVERHEAD_SAMPLES || path.overheadMs < MIN_DEGRADED_OVERHEAD_MS) return []
  if (path.overheadMs < DEGRADED_OVERHEAD_RATIO * medianOverhead(state, path)) return []
  return avoidPath(state, path, node, 'slow')
}

function medianOverhead (state: NodeState, path: PathHealth): number {
  const others = [...state.health.paths.values()].filter((other) => other !== path && other.samples > 0)
  if (others.length < 2) return Infinity
  const overheads = others.map((other) => other.overheadMs).sort((left, right) => left - right)
  return overheads[overheads.length >> 1]!
}

function avoidPath (state: NodeState, path: PathHealth, node: NodeId, reason: string): NodeEffect[] {
  if (state.now < path.avoidUntil) return []
  const avoidFor = decayBackoff(path.avoidFor, millis(state.now - path.avoidUntil))
  path.avoidUntil = millis(state.now + avoidFor)
  path.avoidFor = millis(Math.min(MAX_AVOIDANCE, avoidFor * 2))
  // The next attempts are evaluated from scratch: one conclusive failure, or a high overhead again, is enough.
  path.consecutiveFailures = 0
  path.samples = 0
  path.overheadMs = 0
  return [{ slice: 'log', type: 'stateChanged', message: 'path avoided', fields: { node, reason, avoidFor } }]
}
