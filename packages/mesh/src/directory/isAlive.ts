import type { MeshState } from '../MeshState'
import { ALIVE_TIMEOUT } from './directoryTimings'
import type { Member } from './Member'

/**
 * @param state - the node's state
 * @param member - a member
 * @returns whether the member has been heard from recently enough to count as running and reachable
 * @internal
 */
export function isAlive (state: MeshState, member: Member): boolean {
  return member.node === state.identity.nodeId || state.now - member.lastHeardAt < ALIVE_TIMEOUT
}
