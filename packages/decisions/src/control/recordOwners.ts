import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { raise } from '../raise'
import { type AssignmentEntry, assignmentKey, supersedes } from './Assignment'

/**
 * Takes entries of the assignment over, from the head row or from a hand-over, and notifies the slices that depend on
 * ownership.
 *
 * @param state - the node's state
 * @param entries - entries; those that do not supersede the present ones are ignored
 * @param source - `head`: the head row shows the entries; `handOver`: it does not yet
 * @returns an `ownerChanged` for each entry that changed
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
  // Unless a hand-over is ahead of it, the head row now shows the entry that is in force.
  if (source === 'head' && (previous === undefined || !supersedes(previous, entry))) unrecordedHandOvers.delete(key)
  if (!supersedes(entry, previous)) return []
  assignment.set(key, entry)
  if (source === 'handOver') unrecordedHandOvers.add(key)
  return [raise({ slice: 'control', type: 'ownerChanged', entry, previous })]
}
