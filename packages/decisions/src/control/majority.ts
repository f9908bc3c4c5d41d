import type { DataCentreId, Millis } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import { NEVER } from './ControlState'

/** How long a data centre's own count of its members is used; after that its members may have left on purpose. */
const MEMBER_COUNT_LIFETIME_MS = 10_000

/**
 * Lists how many members each data centre holds, by this node's count or by its pollers', whichever is higher: a node
 * that knows few members must not take them for a majority.
 *
 * @param state - the node's state
 * @returns members of each data centre
 * @internal
 */
export function listWeights ({ control, now }: NodeState): Map<DataCentreId, number> {
  const result = new Map(control.memberCounts)
  for (const [dataCentre, { at, members }] of control.heartbeats) {
    if (now - at > MEMBER_COUNT_LIFETIME_MS) continue
    result.set(dataCentre, Math.max(members, result.get(dataCentre) ?? 0))
  }
  return result
}

/**
 * @param state - the node's state
 * @param dataCentres - some data centres
 * @returns whether they hold a majority of the members
 * @internal
 */
export function holdMajority (state: NodeState, dataCentres: Iterable<DataCentreId>): boolean {
  const weights = listWeights(state)
  let heldCount = 0
  for (const dataCentre of new Set(dataCentres)) heldCount += weights.get(dataCentre) ?? 0
  return 2 * heldCount > sum(weights.values())
}

/**
 * @param state - the node's state
 * @returns the latest time for which heartbeats of data centres with a majority of the members are known
 * @internal
 */
export function findMajorityProofTime (state: NodeState): Millis {
  const weights = listWeights(state)
  const total = sum(weights.values())
  const newestFirst = [...state.control.heartbeats].sort(([, a], [, b]) => b.at - a.at)
  let heldCount = 0
  for (const [dataCentre, { at }] of newestFirst) {
    heldCount += weights.get(dataCentre) ?? 0
    if (2 * heldCount > total) return at
  }
  return NEVER
}

function sum (values: Iterable<number>): number {
  let total = 0
  for (const value of values) total += value
  return total
}
