import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { raise } from '../raise'
import { type AssignmentEntry, assignmentKey, supersedes } from './Assignment'

/**
 * Applies assignment entries from the head row or from a hand-over, and notifies the slices that depend on ownership.
 *
 * @param state - the node's state
 * @param entries - assignment entries; those that do not supersede the current ones are ignored
 * @param source - `head` if the head row records the entries, `handOver` if it does not yet
 * @returns an `ownerChanged` event for each entry that changed
 * @internal
 */
export function recordOwners (
  state: NodeState, entries: readonly AssignmentEntry[], source: 'head' | 'handOver'
): NodeEffect[] {
  return entries.flatMap((entry) => recordOwner(state, entry, source))
}

function recordOwner (state: NodeState, entry: AssignmentEntry, source: 'head' | 'handOver'): NodeEffect[] {
  const { assignment, unrecordedHandOvers } = state.control
  const key = assignmentKey(entry.partition, entry.domain)
  const previous = assignment.get(key)
  // Unless a later hand-over supersedes it, the entry in the head row is the one in force.
  if (source === 'head' && (previous === undefined || !supersedes(previous, entry))) unrecordedHandOvers.delete(key)
  if (!supersedes(entry, previous)) return []
  assignment.set(key, entry)
  if (source === 'handOver') unrecordedHandOvers.add(key)
  return [raise({ slice: 'control', type: 'ownerChanged', entry, previous })]
}
