import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { MemberRecord } from './MemberRecord'
import type { MemberLearned, MembershipEvent } from './MembershipEvent'
import type { Member, MembershipState } from './MembershipState'

/**
 * @param state - the node's state
 * @param event - an event of membership
 * @returns effects
 * @internal
 */
export function reduceMembership (state: NodeState, event: MembershipEvent): NodeEffect[] {
  switch (event.type) {
    case 'memberLearned': return learnMember(state, event)
  }
}

function learnMember (state: NodeState, { record, status }: MemberLearned): NodeEffect[] {
  const known = state.membership.members.get(record.nodeId)
  if (known !== undefined && !isNewer(record, known.record) && known.status === status) return []
  const member: Member = { record, status }
  if (known !== undefined) removeFromDirectory(state.membership, known)
  state.membership.members.set(record.nodeId, member)
  if (status === 'alive' || status === 'suspect') addToDirectory(state.membership, member)
  return []
}

function isNewer (record: MemberRecord, known: MemberRecord): boolean {
  return record.incarnation > known.incarnation || record.endpointsVersion > known.endpointsVersion
}

function addToDirectory ({ directory }: MembershipState, member: Member): void {
  for (const endpoint of member.record.endpoints) {
    const entries = directory.get(endpoint.service) ?? new Map()
    entries.set(endpoint.id, { endpoint, member })
    directory.set(endpoint.service, entries)
  }
}

function removeFromDirectory ({ directory }: MembershipState, member: Member): void {
  for (const endpoint of member.record.endpoints) directory.get(endpoint.service)?.delete(endpoint.id)
}
