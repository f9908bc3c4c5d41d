import type { MeshState } from '../MeshState'
import { REACHABLE_TIMEOUT, REMOVAL_TIMEOUT } from './directoryTimings'
import { isAlive } from './isAlive'
import type { Member } from './Member'

/** @internal */
export interface MemberCount {
  /** Members that count as alive, including this node. */
  readonly alive: number
  /** Members heard from so recently that they cannot have switched to another owner of a team's rate. */
  readonly reachable: number
  /** Members among which a team's rate is divided. */
  readonly total: number
}

/**
 * Counts the members. A member that has been silent for a long time is excluded from the total only while this node
 * reaches a majority, because a partitioned node must not take the shares of all others.
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
 * @returns whether the member was heard from so recently that it still uses the owners that this node would choose, and
 * receives heartbeats from this node
 * @internal
 */
export function isMutuallyReachable (state: MeshState, member: Member): boolean {
  // A member that does not receive this node's heartbeats has switched to another owner and uses its share there.
  return member.hearsThisNode && isHeardRecently(state, member)
}

/**
 * @param state - the node's state
 * @param member - a member
 * @returns whether its heartbeats arrive
 * @internal
 */
export function isHeardRecently ({ identity, now }: MeshState, member: Member): boolean {
  if (member.node === identity.nodeId) return true
  const isLocal = member.dataCentre === identity.dataCentre
  return now - member.lastHeardAt < (isLocal ? REACHABLE_TIMEOUT.sameDataCentre : REACHABLE_TIMEOUT.otherDataCentre)
}
