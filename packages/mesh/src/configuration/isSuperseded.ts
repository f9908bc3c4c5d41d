import type { Revision } from '@lavenderturn/types'
import { isAlive } from '../directory/isAlive'
import type { MeshState } from '../MeshState'

/**
 * Decides whether a revision has been followed by a later one. A restored store, or a node that is behind, may state an
 * earlier revision after other nodes have the later one in force.
 *
 * @param state - the node's state
 * @param revision - the revision
 * @returns whether a running node has a later one in force
 * @internal
 */
export function isSuperseded (state: MeshState, revision: Revision): boolean {
  const { configuration: { relay }, directory, identity } = state
  if (relay.reported === undefined || relay.reported.revision <= revision) return false
  for (const member of directory.members.values()) {
    if (member.node !== identity.nodeId && member.revision > revision && isAlive(state, member)) return true
  }
  return false
}
