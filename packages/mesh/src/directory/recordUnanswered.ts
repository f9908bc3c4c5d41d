import { addMillis, millis, type NodeId } from '@lavenderturn/types'
import type { MeshState } from '../MeshState'

/** Time that a node is avoided after one unanswered request. Doubles with each further one. */
const MIN_AVOIDANCE_MS = 400

/** Longest time that a node is avoided. */
const MAX_AVOIDANCE_MS = 3_000

/**
 * Records that a node left a request unanswered, and avoids the node for a while.
 *
 * @param state - the node's state
 * @param node - the node that did not reply
 * @internal
 */
export function recordUnanswered (state: MeshState, node: NodeId): void {
  const member = state.directory.members.get(node)
  if (member === undefined) return
  const avoidance = Math.min(MAX_AVOIDANCE_MS, MIN_AVOIDANCE_MS * 2 ** member.missed)
  member.missed += 1
  member.avoidUntil = addMillis(state.now, millis(avoidance))
}
