import { millis, type NodeId } from '@lavenderturn/types'
import type { MeshState } from '../MeshState'
import type { LoadSummary } from '../messages/PeerMessage'

/**
 * Notes that a node answered, and what it told of its backend server.
 *
 * @param state - the node's state
 * @param node - the node that answered
 * @param load - what it told
 * @internal
 */
export function recordReply (state: MeshState, node: NodeId, load?: LoadSummary): void {
  const member = state.directory.members.get(node)
  if (member === undefined) return
  member.lastHeardAt = state.now
  member.missed = 0
  member.avoidUntil = millis(0)
  if (load !== undefined) {
    member.load = load
    member.loadReceivedAt = state.now
  }
}
