import { type Assignment, type AssignmentEntry, assignmentKey, supersedes } from '../control/Assignment'
import type { ControlEvent } from '../control/ControlEvent'
import type { NodeState } from '../NodeState'
import { InvariantError } from './InvariantError'

const inForce = new WeakMap<NodeState, Assignment>()

/**
 * I5: an owner is never replaced by one of an earlier epoch or sequence, so that a bucket that was taken over or
 * handed over has no second owner.
 *
 * @param state - the state after a step
 * @param event - the event of the step; only the entries that it carries are looked at
 * @throws InvariantError when an entry is older than after an earlier step
 * @internal
 */
export function assertOwnersRise (state: NodeState, event: ControlEvent): void {
  const known = inForce.get(state) ?? new Map<string, AssignmentEntry>()
  inForce.set(state, known)
  for (const { partition, domain } of listEntries(event)) {
    const key = assignmentKey(partition, domain)
    const current = state.control.assignment.get(key)
    const before = known.get(key)
    if (current === undefined || (before !== undefined && supersedes(before, current))) {
      throw new InvariantError('I5', `the owner of ${key} went back to ${current?.epoch}/${current?.sequence}`)
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
