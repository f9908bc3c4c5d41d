import { type AssignmentEntry, assignmentKey } from '../control/Assignment'
import { recordOwners } from '../control/recordOwners'
import { handleOwnerChanged as handleIdempotencyOwnerChanged } from '../idempotency/handleOwnerChanged'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { handleOwnerChanged } from './handleOwnerChanged'

/**
 * Applies the assignment entry of a confirmed handover at this node.
 *
 * @param state - the node's state
 * @param entry - the successor's entry
 * @returns effects of the slices that depend on ownership
 * @internal
 */
export function applyAssignmentEntry (state: NodeState, entry: AssignmentEntry): NodeEffect[] {
  const previous = state.control.assignment.get(assignmentKey(entry.partition, entry.domain))
  const raised = recordOwners(state, [entry], 'handOver')
  if (raised.length === 0) return []
  // The buckets of the handover are installed in the same step, so the change cannot wait for the raised event.
  const change = { entry, previous }
  return [...handleOwnerChanged(state, change), ...handleIdempotencyOwnerChanged(state, change), ...raised]
}
