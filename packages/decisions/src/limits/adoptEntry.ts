import { type AssignmentEntry, assignmentKey } from '../control/Assignment'
import { recordOwners } from '../control/recordOwners'
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
  const previous = state.control.assignment.get(assignmentKey(entry.partition, entry.domain))
  const raised = recordOwners(state, [entry], 'handOver')
  if (raised.length === 0) return []
  // The buckets of the hand-over are installed next, so that the change cannot wait for the raised event.
  const change = { entry, previous }
  return [...handleOwnerChanged(state, change), ...changeIdempotencyOwner(state, change), ...raised]
}
