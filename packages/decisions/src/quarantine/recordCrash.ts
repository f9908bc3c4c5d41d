import { addMillis, type BootId, type EndpointId, type Fingerprint, type Millis, millis } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { CrashMark } from './QuarantineState'

/** How long requests with a quarantined fingerprint are refused, and how long a mark counts, after the latest crash. */
export const QUARANTINE_DURATION = millis(600_000)

/** A fingerprint is quarantined after this many crashes without a completed request in between. */
const QUARANTINE_CRASH_COUNT = 2

/** Maximum number of marks that a node keeps. One crash adds at most as many marks as the backend server has slots. */
const MAX_MARKS = 4_096

/** Maximum number of crashes in a mark; older ones are dropped. */
const MAX_CRASHES_PER_MARK = 16

/**
 * Records a crash for the fingerprint of a request that was in flight at the backend server.
 *
 * @param state - the node's state
 * @param fingerprint - the fingerprint
 * @param crash - the backend server and the boot id of the process that crashed
 * @returns effects
 * @internal
 */
export function recordCrash (
  state: NodeState,
  fingerprint: Fingerprint,
  { endpoint, bootId }: { readonly endpoint: EndpointId, readonly bootId: BootId }
): NodeEffect[] {
  return quarantineIfNeeded(addCrashes(state, fingerprint, [`${endpoint}@${bootId}`], state.now), fingerprint)
}

/**
 * Adds crashes to the mark of a fingerprint, and drops the oldest ones beyond `MAX_CRASHES_PER_MARK`.
 *
 * @param state - the node's state
 * @param fingerprint - the fingerprint
 * @param crashes - ids of crashes
 * @param crashedAt - time of the latest of them
 * @returns the mark
 * @internal
 */
export function addCrashes (
  state: NodeState,
  fingerprint: Fingerprint,
  crashes: Iterable<string>,
  crashedAt: Millis
): CrashMark {
  const mark = updateMark(state, fingerprint, crashedAt)
  for (const crash of crashes) mark.crashes.add(crash)
  for (const crash of mark.crashes) {
    if (mark.crashes.size <= MAX_CRASHES_PER_MARK) break
    mark.crashes.delete(crash)
    mark.cleared.delete(crash)
  }
  return mark
}

/**
 * Quarantines a fingerprint, or extends its quarantine, when enough of its crashes have not been cleared.
 *
 * @param mark - its mark
 * @param fingerprint - the fingerprint
 * @returns effects
 * @internal
 */
export function quarantineIfNeeded (mark: CrashMark, fingerprint: Fingerprint): NodeEffect[] {
  if (countUnclearedCrashes(mark) < QUARANTINE_CRASH_COUNT) return []
  const before = mark.quarantinedUntil
  mark.quarantinedUntil = addMillis(mark.lastCrashAt, QUARANTINE_DURATION)
  if (before !== undefined) return []
  return [{ slice: 'log', type: 'stateChanged', message: 'request quarantined', fields: { fingerprint } }]
}

/**
 * @param mark - a mark
 * @returns the number of its crashes that have not been cleared
 * @internal
 */
export function countUnclearedCrashes ({ crashes, cleared }: CrashMark): number {
  let count = 0
  for (const crash of crashes) if (!cleared.has(crash)) count += 1
  return count
}

function updateMark (state: NodeState, fingerprint: Fingerprint, crashedAt: Millis): CrashMark {
  const { marks } = state.quarantine
  const known = marks.get(fingerprint)
  // Marks are ordered by their latest crash, so a crash that is already known does not move the mark.
  if (known !== undefined && crashedAt <= known.lastCrashAt) return known
  const mark = known ?? { crashes: new Set(), cleared: new Set(), lastCrashAt: crashedAt }
  mark.lastCrashAt = crashedAt
  marks.delete(fingerprint)
  marks.set(fingerprint, mark)
  if (marks.size > MAX_MARKS) evictMark(state)
  return mark
}

/** Evicts the oldest mark that is not quarantined, or the oldest one when all are. */
function evictMark ({ quarantine: { marks }, now }: NodeState): void {
  for (const [fingerprint, { quarantinedUntil = now }] of marks) {
    if (now < quarantinedUntil) continue
    marks.delete(fingerprint)
    return
  }
  marks.delete(marks.keys().next().value!)
}
