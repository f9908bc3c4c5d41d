import { addMillis, millis, type NodeId } from '@lavenderturn/types'
import type { MeshState } from '../MeshState'

/** How long a path is avoided after one unanswered question; doubles with each further one. */
const MIN_AVOIDANCE_MS = 400

/** The longest time that a path is avoided before it is tried again. */
const MAX_AVOIDANCE_MS = 3_000

/**
 * Notes that a node left a question unanswered, and avoids the path to it for a while.
 *
 * @param state - the node's state
 * @param node - the silent node
 * @internal
 */
export function recordUnanswered (state: MeshState, node: NodeId): void {
  const member = state.directory.members.get(node)
  if (member === undefined) return
  const avoidance = Math.min(MAX_AVOIDANCE_MS, MIN_AVOIDANCE_MS * 2 ** member.missed)
  member.missed += 1
  member.avoidUntil = addMillis(state.now, millis(avoidance))
}
