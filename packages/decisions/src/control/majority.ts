import type { DataCentreId, Millis } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import { NEVER } from './ControlState'

/** How long a data centre's own count of its members is used. After that, members may have left on purpose. */
const MEMBER_COUNT_LIFETIME_MS = 10_000

/**
 * Counts the members of each data centre. It uses the higher of this node's count and the count of the data centre's
 * pollers, so that a node that knows only a few members does not mistake them for a majority.
 *
 * @param state - the node's state
 * @returns number of members by data centre
 * @internal
 */
export function countMembers ({ control, now }: NodeState): Map<DataCentreId, number> {
  const counts = new Map(control.memberCounts)
  for (const [dataCentre, { at, members }] of control.heartbeats) {
    if (now - at > MEMBER_COUNT_LIFETIME_MS) continue
    counts.set(dataCentre, Math.max(members, counts.get(dataCentre) ?? 0))
  }
  return counts
}

/**
 * Tells whether data centres hold a majority of the members.
 *
 * @param state - the node's state
 * @param dataCentres - data centres to count; duplicates are ignored
 * @returns whether they hold more than half of the members
 * @internal
 */
export function holdsMajority (state: NodeState, dataCentres: Iterable<DataCentreId>): boolean {
  const counts = countMembers(state)
  let heldCount = 0
  for (const dataCentre of new Set(dataCentres)) heldCount += counts.get(dataCentre) ?? 0
  return 2 * heldCount > sum(counts.values())
}

/**
 * Finds the latest time for which data centres that hold a majority of the members have sent heartbeats.
 *
 * @param state - the node's state
 * @returns that time, or `NEVER` without such a majority
 * @internal
 */
export function findMajorityProofTime (state: NodeState): Millis {
  const counts = countMembers(state)
  const total = sum(counts.values())
  const newestFirst = [...state.control.heartbeats].sort(([, a], [, b]) => b.at - a.at)
  let heldCount = 0
  for (const [dataCentre, { at }] of newestFirst) {
    heldCount += counts.get(dataCentre) ?? 0
    if (2 * heldCount > total) return at
  }
  return NEVER
}

function sum (values: Iterable<number>): number {
  let total = 0
  for (const value of values) total += value
  return total
}
