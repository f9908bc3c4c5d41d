import { describeFreshness } from '../control/describeFreshness'
import type { NodeState } from '../NodeState'
import { describeCrashMarks } from '../quarantine/describeCrashMarks'
import { type Gossip, type MemberChange, PROTOCOL_VERSION } from './Gossip'
import { CHANGES_PER_MESSAGE } from './membershipTimings'

/**
 * Composes a message of gossip. Each change that rides on it has one transmission less left.
 *
 * @param state - the node's state
 * @param options - `full`: whether the message holds the whole member list
 * @returns the message
 * @internal
 */
export function composeGossip (state: NodeState, { full = false }: { readonly full?: boolean } = {}): Gossip {
  return {
    from: state.identity.nodeId,
    protocolVersion: PROTOCOL_VERSION,
    changes: full ? listAllMembers(state) : takePendingChanges(state),
    membersDigest: state.membership.digest,
    freshness: describeFreshness(state),
    crashMarks: describeCrashMarks(state)
  }
}

function listAllMembers ({ membership }: NodeState): MemberChange[] {
  return [...membership.members.values()].map(({ record, status }) => ({ record, status }))
}

function takePendingChanges ({ membership }: NodeState): MemberChange[] {
  const { members, pendingUpdates } = membership
  // Changes that have been sent least go first, so that a fresh change is not held up by old ones.
  const due = [...pendingUpdates].sort(([, left], [, right]) => right - left).slice(0, CHANGES_PER_MESSAGE)
  const changes: MemberChange[] = []
  for (const [nodeId, left] of due) {
    const member = members.get(nodeId)
    if (member !== undefined) changes.push({ record: member.record, status: member.status })
    if (left <= 1) pendingUpdates.delete(nodeId)
    else pendingUpdates.set(nodeId, left - 1)
  }
  return changes
}
