import { type EndpointId, millis, type NodeId } from '@lavenderturn/types'
import type { FailureReason } from '../gateway/GatewayEvent'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { decayDelay } from './ejectServer'
import type { AttemptEnded } from './HealthEvent'
import { FIRST_TRIAL_DELAY, type PathHealth } from './HealthState'

/** Reports and paths that a gateway keeps; the ones not used for longest go first. */
const MAX_ENTRIES = 4_096

/** Failures since the last answer that make a path sick. */
const FAILURE_LIMIT = 3

/** Failures that show the fault of the path at once: nothing was received, or a fresh connection worked. */
const CERTAIN_FAILURES: ReadonlySet<FailureReason> = new Set(['connect', 'silent'])

/** Longest time for which a path is avoided before it is tried again. */
const LONGEST_AVOIDANCE = millis(64_000)

const OVERHEAD_WEIGHT = 0.1
const MIN_OVERHEAD_SAMPLES = 10

/** A path with less overhead than this is not sick, whatever the others have. */
const LEAST_SICK_OVERHEAD_MS = 50

/** Overhead over the median of the other paths that makes a path sick. */
const SICK_OVERHEAD_RATIO = 5

/**
 * Notes that an attempt is on its way to an endpoint.
 *
 * @param state - the node's state
 * @param endpoint - the endpoint
 * @internal
 */
export function noteForwarded ({ health }: NodeState, endpoint: EndpointId): void {
  health.outstanding.set(endpoint, (health.outstanding.get(endpoint) ?? 0) + 1)
}

/**
 * Learns from the end of an attempt: the endpoint's load, and whether the path to its node works.
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
  if (load !== undefined) setNewest(state.health.loads, endpoint, { load, at: state.now })
  if (outcome.kind === 'cancelled') return []
  const path = findPath(state, event.node)
  if (outcome.kind === 'failed') return handleFailure(state, path, event.node, outcome.reason)
  path.failures = 0
  return load?.heldFor === undefined ? [] : observeOverhead(state, path, event.node, event.latency - load.heldFor)
}

function findPath ({ health, now }: NodeState, node: NodeId): PathHealth {
  const path = health.paths.get(node) ??
    { failures: 0, overheadMs: 0, samples: 0, avoidUntil: now, avoidFor: FIRST_TRIAL_DELAY }
  setNewest(health.paths, node, path)
  return path
}

function setNewest<Key, Value> (entries: Map<Key, Value>, key: Key, value: Value): void {
  entries.delete(key)
  entries.set(key, value)
  if (entries.size > MAX_ENTRIES) entries.delete(entries.keys().next().value!)
}

function handleFailure (state: NodeState, path: PathHealth, node: NodeId, reason: FailureReason): NodeEffect[] {
  path.failures += CERTAIN_FAILURES.has(reason) ? FAILURE_LIMIT : 1
  return path.failures >= FAILURE_LIMIT ? avoidPath(state, path, node, reason) : []
}

function observeOverhead (state: NodeState, path: PathHealth, node: NodeId, overheadMs: number): NodeEffect[] {
  path.samples += 1
  path.overheadMs += (overheadMs - path.overheadMs) * Math.max(OVERHEAD_WEIGHT, 1 / path.samples)
  if (path.samples < MIN_OVERHEAD_SAMPLES || path.overheadMs < LEAST_SICK_OVERHEAD_MS) return []
  if (path.overheadMs < SICK_OVERHEAD_RATIO * medianOverhead(state, path)) return []
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
  const avoidFor = decayDelay(path.avoidFor, millis(state.now - path.avoidUntil))
  path.avoidUntil = millis(state.now + avoidFor)
  path.avoidFor = millis(Math.min(LONGEST_AVOIDANCE, avoidFor * 2))
  // The next attempts decide anew; one certain failure, or slowness again, is enough.
  path.failures = 0
  path.samples = 0
  path.overheadMs = 0
  return [{ slice: 'log', type: 'stateChanged', message: 'path avoided', fields: { node, reason, avoidFor } }]
}
