import { describeFreshness } from '../control/describeFreshness'
import type { NodeState } from '../NodeState'
import { describeCrashMarks } from '../quarantine/describeCrashMarks'
import { type Gossip, type MemberChange, PROTOCOL_VERSION } from './Gossip'
import { MAX_CHANGES_PER_MESSAGE } from './membershipTimings'

/**
 * Composes a gossip message. Each pending change that it includes uses up one of its transmissions.
 *
 * @param state - the node's state
 * @param options - `full`: whether the message contains the whole member list
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
  // Changes with the most transmissions left go first, so that older changes do not delay a new one.
  const due = [...pendingUpdates].sort(([, a], [, b]) => b - a).slice(0, MAX_CHANGES_PER_MESSAGE)
  const changes: MemberChange[] = []
  for (const [nodeId, remaining] of due) {
    const member = members.get(nodeId)
    if (member !== undefined) changes.push({ record: member.record, status: member.status })
    if (remaining <= 1) pendingUpdates.delete(nodeId)
    else pendingUpdates.set(nodeId, remaining - 1)
  }
  return changes
}
