import { type TimerId, toId } from '@lavenderturn/types'
import { hash } from '../hash'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { MemberChange } from './Gossip'
import type { Member, MembershipState, MemberStatus } from './MembershipState'
import { SUSPICION_TIMEOUT, TRANSMISSIONS_PER_DOUBLING } from './membershipTimings'

/** Precedence of statuses among changes with the same incarnation; the higher rank wins. */
const STATUS_RANK: Readonly<Record<MemberStatus, number>> = { alive: 0, suspect: 1, dead: 2, left: 3 }

/**
 * Applies a change of a member if it is newer than the known state, and queues it for gossip.
 *
 * @param state - the node's state
 * @param change - a member's record and status
 * @returns effects of the change; none if it is not newer
 * @internal
 */
export function updateMember (state: NodeState, change: MemberChange): NodeEffect[] {
  const { membership } = state
  const { nodeId } = change.record
  const known = membership.members.get(nodeId)
  if (known !== undefined && !isNewer(change, known)) return []
  if (known !== undefined) removeFromDirectory(membership, known)
  const member: Member = {
    ...change, statusChangedAt: known?.status === change.status ? known.statusChangedAt : state.now
  }
  membership.members.set(nodeId, member)
  membership.digest ^= hashMember(member) ^ (known === undefined ? 0 : hashMember(known))
  if (change.status === 'alive' || change.status === 'suspect') addToDirectory(membership, member)
  membership.pendingUpdates.set(nodeId, countTransmissions(membership))
  return buildChangeEffects(member, known)
}

/**
 * Removes a member whose retention time has passed.
 *
 * @param membership - the slice's state
 * @param member - a member that is dead or has left
 * @internal
 */
export function removeMember (membership: MembershipState, member: Member): void {
  membership.members.delete(member.record.nodeId)
  membership.pendingUpdates.delete(member.record.nodeId)
  membership.digest ^= hashMember(member)
}

function isNewer ({ record, status }: MemberChange, known: Member): boolean {
  if (known.status === 'left') return false
  if (status === 'left') return true
  if (record.incarnation !== known.record.incarnation) return record.incarnation > known.record.incarnation
  if (STATUS_RANK[status] !== STATUS_RANK[known.status]) return STATUS_RANK[status] > STATUS_RANK[known.status]
  return record.endpointsVersion > known.record.endpointsVersion
}

function hashMember ({ record, status }: MemberChange): number {
  return hash(`${record.nodeId}/${record.incarnation}/${record.endpointsVersion}/${status}`)
}

/**
 * Computes how often a new change is transmitted, in proportion to the logarithm of the member count.
 *
 * @param membership - the slice's state
 * @returns number of transmissions
 * @internal
 */
export function countTransmissions ({ members }: MembershipState): number {
  return TRANSMISSIONS_PER_DOUBLING * Math.ceil(Math.log2(members.size + 1))
}

function addToDirectory ({ directory }: MembershipState, member: Member): void {
  for (const endpoint of member.record.endpoints) {
    const entries = directory.get(endpoint.service) ?? new Map()
    entries.set(endpoint.id, { endpoint, member })
    directory.set(endpoint.service, entries)
  }
}

function removeFromDirectory ({ directory }: MembershipState, member: Member): void {
  for (const endpoint of member.record.endpoints) {
    const entries = directory.get(endpoint.service)
    entries?.delete(endpoint.id)
    if (entries?.size === 0) directory.delete(endpoint.service)
  }
}

function buildChangeEffects ({ record, status }: Member, known: Member | undefined): NodeEffect[] {
  const effects: NodeEffect[] = []
  const timer = toId<TimerId>(`suspicion/${record.nodeId}`)
  if (status === 'suspect') {
    effects.push({
      slice: 'timer',
      type: 'set',
      id: timer,
      delay: SUSPICION_TIMEOUT,
      event: { slice: 'membership', type: 'suspicionExpired', record }
    })
  } else if (known?.status === 'suspect') {
    effects.push({ slice: 'timer', type: 'clear', id: timer })
  }
  if (known?.status !== status) {
    effects.push({
      slice: 'log',
      type: 'stateChanged',
      message: `member ${status}`,
      fields: { node: record.nodeId, dataCentre: record.dataCentre, incarnation: record.incarnation }
    })
  }
  return effects
}
