import { type Assignment, type AssignmentEntry, assignmentKey, supersedes } from '../control/Assignment'
import type { ControlEvent } from '../control/ControlEvent'
import type { NodeState } from '../NodeState'
import { InvariantError } from './InvariantError'

const latestEntries = new WeakMap<NodeState, Assignment>()

/**
 * I5: the owner of a partition is never replaced by one of an earlier epoch or sequence, so that a bucket that was
 * taken over or handed over never has two owners.
 *
 * @param state - the state after a step
 * @param event - the event of the step; only the assignment entries that it contains are checked
 * @throws InvariantError if an entry is older than it was after an earlier step
 * @internal
 */
export function assertOwnersNeverRevert (state: NodeState, event: ControlEvent): void {
  const known = latestEntries.get(state) ?? new Map<string, AssignmentEntry>()
  latestEntries.set(state, known)
  for (const { partition, domain } of listEntries(event)) {
    const key = assignmentKey(partition, domain)
    const current = state.control.assignment.get(key)
    const before = known.get(key)
    if (current === undefined || (before !== undefined && supersedes(before, current))) {
      throw new InvariantError(
        'I5', `the owner of ${key} reverted to epoch ${current?.epoch}, sequence ${current?.sequence}`
      )
    }
    known.set(key, current)
  }
}

function listEntries (event: ControlEvent): readonly AssignmentEntry[] {
  switch (event.type) {
    case 'gossipHeard':
    case 'confirmAnswered': return event.assignmentChanges
    case 'handedOver': return [event.entry]
    default: return []
  }
}
