import type { MeshState } from '../MeshState'
import { REACHABLE_TIMEOUT, REMOVAL_TIMEOUT } from './directoryTimings'
import { isAlive } from './isAlive'
import type { Member } from './Member'

/** @internal */
export interface MemberCount {
  /** Members that can be reached, this node included. */
  readonly alive: number
  /** Members that were heard so recently that they cannot have turned to another keeper of a team's rate. */
  readonly reachable: number
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
  let reachable = 0
  let total = 0
  let removed = 0
  for (const member of state.directory.members.values()) {
    if (member.leaving) continue
    total += 1
    if (isMutuallyReachable(state, member)) reachable += 1
    if (isAlive(state, member)) alive += 1
    else if (state.now - member.lastHeardAt > REMOVAL_TIMEOUT) removed += 1
  }
  return alive * 2 > total ? { alive, reachable, total: total - removed } : { alive, reachable, total }
}

/**
 * @param state - the node's state
 * @param member - a member
 * @returns whether the member was heard so recently that it still uses the keepers that this node would name, and hears
 * this node in turn
 * @internal
 */
export function isMutuallyReachable (state: MeshState, member: Member): boolean {
  // A member that does not hear this node has turned to another keeper, and its share with it.
  return member.hearsThisNode && isHeardRecently(state, member)
}

/**
 * @param state - the node's state
 * @param member - a member
 * @returns whether its beats arrive
 * @internal
 */
export function isHeardRecently ({ identity, now }: MeshState, member: Member): boolean {
  if (member.node === identity.nodeId) return true
  const isLocal = member.dataCentre === identity.dataCentre
  return now - member.lastHeardAt < (isLocal ? REACHABLE_TIMEOUT.sameDataCentre : REACHABLE_TIMEOUT.otherDataCentre)
}
