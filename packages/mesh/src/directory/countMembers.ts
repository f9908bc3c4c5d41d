import type { MeshState } from '../MeshState'
import { REMOVAL_LIMIT } from './directoryTimings'
import { isAlive } from './isAlive'

/** @internal */
export interface MemberCount {
  /** Members that can be reached, this node included. */
  readonly alive: number
  /** Members among which a team's rate is divided. */
  readonly total: number
}

/**
 * Counts the members. One that is silent for long drops out of the total only while this node reaches a majority:
 * a node that is cut off must not take the share of all others.
 *
 * @param state - the node's state
 * @returns the counts
 * @internal
 */
export function countMembers (state: MeshState): MemberCount {
  let alive = 0
  let total = 0
  let removed = 0
  for (const member of state.directory.members.values()) {
    if (member.leaving) continue
    total += 1
    if (isAlive(state, member)) alive += 1
    else if (state.now - member.heardAt > REMOVAL_LIMIT) removed += 1
  }
  return alive * 2 > total ? { alive, total: total - removed } : { alive, total }
}
