import { type AssignmentEntry, assignmentKey, supersedes } from '../control/Assignment'
import { handleOwnerChanged as changeIdempotencyOwner } from '../idempotency/handleOwnerChanged'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { handleOwnerChanged } from './handleOwnerChanged'

/**
 * Puts the entry of a confirmed hand-over into force at this node.
 *
 * @param state - the node's state
 * @param entry - the successor's entry
 * @returns effects of the slices that depend on ownership
 * @internal
 */
export function adoptEntry (state: NodeState, entry: AssignmentEntry): NodeEffect[] {
  const key = assignmentKey(entry.partition, entry.domain)
  const previous = state.control.assignment.get(key)
  if (!supersedes(entry, previous)) return []
  state.control.assignment.set(key, entry)
  const change = { at: state.now, entry, previous }
  return [...handleOwnerChanged(state, change), ...changeIdempotencyOwner(state, change)]
}
