import { millis, type NodeId } from '@lavenderturn/types'
import type { MeshState } from '../MeshState'
import type { LoadSummary } from '../messages/PeerMessage'

/**
 * Records a reply of a node and the load of its backend server.
 *
 * @param state - the node's state
 * @param node - the node that replied
 * @param load - the load it reported, if any
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
