import type { MeshState } from '../MeshState'
import { ALIVE_TIMEOUT } from './directoryTimings'
import type { Member } from './Member'

/**
 * @param state - the node's state
 * @param member - a member
 * @returns whether the member counts as running and reachable: it has been heard from recently enough or, if it sends
 * no heartbeats to this node, has not just left a request unanswered
 * @internal
 */
export function isAlive ({ identity, now }: MeshState, member: Member): boolean {
  if (member.node === identity.nodeId) return true
  if (!member.sendsHeartbeats) return now >= member.avoidUntil
  return now - Math.max(member.lastHeardAt, member.expectedSince) < ALIVE_TIMEOUT
}
