import { addMillis, type BootId, type EndpointId, type Fingerprint, type Millis, millis } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { CrashMark } from './QuarantineState'

/** How long requests with a quarantined fingerprint are refused, and how long a mark is kept. */
export const QUARANTINE_TIME = millis(600_000)

/** Crashes without a completed run in between that quarantine a fingerprint. */
const CRASH_LIMIT = 2

/** Marks that a node keeps. At most as many requests as slots get a mark in one crash. */
const MAX_MARKS = 4_096

/** Crashes that a mark names; older ones are dropped. */
const MAX_CRASHES = 16

/**
 * Marks a fingerprint that was in flight when a backend server died.
 *
 * @param state - the node's state
 * @param fingerprint - the fingerprint
 * @param crash - the backend server and its life that ended
 * @returns effects
 * @internal
 */
export function markCrash (
  state: NodeState,
  fingerprint: Fingerprint,
  { endpoint, bootId }: { readonly endpoint: EndpointId, readonly bootId: BootId }
): NodeEffect[] {
  return judgeMark(addCrashes(state, fingerprint, [`${endpoint}@${bootId}`], state.now), fingerprint)
}

/**
 * Adds crashes to a mark, and quarantines the fingerprint when there are enough.
 *
 * @param state - the node's state
 * @param fingerprint - the fingerprint
 * @param crashes - ids of crashes
 * @param crashedAt - when the latest of them happened
 * @returns the mark
 * @internal
 */
export function addCrashes (
  state: NodeState,
  fingerprint: Fingerprint,
  crashes: Iterable<string>,
  crashedAt: Millis
): CrashMark {
  const mark = openMark(state, fingerprint, crashedAt)
  for (const crash of crashes) mark.crashes.add(crash)
  for (const crash of mark.crashes) {
    if (mark.crashes.size <= MAX_CRASHES) break
    mark.crashes.delete(crash)
    mark.cleared.delete(crash)
  }
  return mark
}

/**
 * Quarantines a fingerprint when enough of its crashes have not been cleared.
 *
 * @param mark - its mark
 * @param fingerprint - the fingerprint
 * @returns effects
 * @internal
 */
export function judgeMark (mark: CrashMark, fingerprint: Fingerprint): NodeEffect[] {
  if (countCrashes(mark) < CRASH_LIMIT) return []
  const before = mark.quarantinedUntil
  mark.quarantinedUntil = addMillis(mark.lastCrashAt, QUARANTINE_TIME)
  if (before !== undefined) return []
  return [{ slice: 'log', type: 'stateChanged', message: 'request quarantined', fields: { fingerprint } }]
}

/**
 * @param mark - a mark
 * @returns its crashes that no completed run has followed
 * @internal
 */
export function countCrashes ({ crashes, cleared }: CrashMark): number {
  let count = 0
  for (const crash of crashes) if (!cleared.has(crash)) count += 1
  return count
}

function openMark (state: NodeState, fingerprint: Fingerprint, crashedAt: Millis): CrashMark {
  const { marks } = state.quarantine
  const known = marks.get(fingerprint)
  // The order of the table is that of the latest crashes; hearing of a known one does not change it.
  if (known !== undefined && crashedAt <= known.lastCrashAt) return known
  const mark = known ?? { crashes: new Set(), cleared: new Set(), lastCrashAt: crashedAt }
  mark.lastCrashAt = crashedAt
  marks.delete(fingerprint)
  marks.set(fingerprint, mark)
  if (marks.size > MAX_MARKS) evictMark(state)
  return mark
}

/** Evicts the oldest mark; a quarantined one only when all are. */
function evictMark ({ quarantine: { marks }, now }: NodeState): void {
  for (const [fingerprint, { quarantinedUntil = now }] of marks) {
    if (now < quarantinedUntil) continue
    marks.delete(fingerprint)
    return
  }
  marks.delete(marks.keys().next().value!)
}
