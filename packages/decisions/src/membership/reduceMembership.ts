import type { Millis } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { raise } from '../raise'
import { composeGossip } from './composeGossip'
import { describeSelf } from './describeSelf'
import { exchangeGossip, reconcileMemberLists, sendGossip } from './exchangeGossip'
import { type Gossip, type MemberChange, PROTOCOL_VERSION } from './Gossip'
import type { GossipAsked, MembershipEvent, MembershipStarted, ProbeAnswered, RowsRead } from './MembershipEvent'
import { PUSH_FANOUT } from './membershipTimings'
import { endProbe, escalateProbe, probeNextMember } from './probeMembers'
import { listPeers, pickMembers } from './selectPeers'
import { countTransmissions, updateMember } from './updateMember'

/**
 * Reduces an event of the membership slice.
 *
 * @param state - the node's state; modified in place
 * @param event - event of the membership slice
 * @returns effects to run
 * @internal
 */
export function reduceMembership (state: NodeState, event: MembershipEvent): NodeEffect[] {
  switch (event.type) {
    case 'started': return startMembership(state, event)
    case 'memberLearned': return applyChange(state, event)
    case 'rowsRead': return applyRows(state, event)
    case 'gossipDue': return exchangeGossip(state)
    case 'probeDue': return probeNextMember(state)
    case 'gossipAsked': return answerGossip(state, event)
    case 'gossipAnswered': return receiveGossip(state, event.gossip, event.askedAt)
    case 'probeAnswered': return finishProbe(state, event)
    case 'probeTimedOut': return escalateProbe(state, event.probeId)
    case 'suspicionExpired': return updateMember(state, { record: event.record, status: 'dead' })
    case 'localEndpointsChanged': return republishSelf(state)
    case 'leaveStarted': return leaveFleet(state)
  }
}

function startMembership (state: NodeState, { seeds }: MembershipStarted): NodeEffect[] {
  state.membership.seeds = seeds
  const record = describeSelf(state, { incarnation: 1, endpointsVersion: 1 })
  return [
    ...updateMember(state, { record, status: 'alive' }),
    { slice: 'membership', type: 'writeRow', record },
    { slice: 'membership', type: 'readRows' },
    ...exchangeGossip(state),
    ...probeNextMember(state)
  ]
}

function applyRows (state: NodeState, { records }: RowsRead): NodeEffect[] {
  return records.flatMap((record) => applyChange(state, { record, status: 'alive' }))
}

function answerGossip (state: NodeState, { callId, gossip, full }: GossipAsked): NodeEffect[] {
  if (!isCompatible(gossip)) return [{ slice: 'membership', type: 'refuseGossip', callId }]
  const effects = receiveGossip(state, gossip)
  return [...effects, { slice: 'membership', type: 'answerGossip', callId, gossip: composeGossip(state, { full }) }]
}

function finishProbe (state: NodeState, { probeId, answer }: ProbeAnswered): NodeEffect[] {
  const effects = endProbe(state, probeId)
  return answer === undefined ? effects : effects.concat(receiveGossip(state, answer.gossip, answer.askedAt))
}

/** Applies a gossip message; `askedAt` is absent if the message is not an answer to a call of this node. */
function receiveGossip (state: NodeState, gossip: Gossip, askedAt?: Millis): NodeEffect[] {
  if (!isCompatible(gossip)) return []
  const effects = gossip.changes.flatMap((change) => applyChange(state, change))
  requeueSenderStatus(state, gossip)
  return [
    ...effects,
    ...reconcileMemberLists(state, gossip),
    raise({ slice: 'control', type: 'gossipHeard', from: gossip.from, askedAt, ...gossip.freshness }),
    ...(gossip.crashMarks.length === 0
      ? []
      : [raise({ slice: 'quarantine', type: 'marksHeard', marks: gossip.crashMarks })])
  ]
}

/** Gossips the status of a sender that is considered suspect or dead again, so that the sender can refute it. */
function requeueSenderStatus ({ membership }: NodeState, { from }: Gossip): void {
  const status = membership.members.get(from)?.status
  if (status === 'suspect' || status === 'dead') membership.pendingUpdates.set(from, countTransmissions(membership))
}

function isCompatible ({ protocolVersion }: Gossip): boolean {
  return Math.abs(protocolVersion - PROTOCOL_VERSION) <= 1
}

function applyChange (state: NodeState, change: MemberChange): NodeEffect[] {
  const { nodeId } = state.identity
  const isOther = change.record.nodeId !== nodeId || !state.membership.members.has(nodeId)
  if (isOther) return updateMember(state, change)
  return change.status === 'alive' ? [] : refute(state, change)
}

/** Refutes a suspicion of this node with a higher incarnation. */
function refute (state: NodeState, { record }: MemberChange): NodeEffect[] {
  const self = state.membership.members.get(state.identity.nodeId)
  if (self === undefined || state.membership.leaving || record.incarnation < self.record.incarnation) return []
  const { endpointsVersion } = self.record
  const refuted = describeSelf(state, { incarnation: record.incarnation + 1, endpointsVersion })
  return updateMember(state, { record: refuted, status: 'alive' })
}

function republishSelf (state: NodeState): NodeEffect[] {
  const self = state.membership.members.get(state.identity.nodeId)
  if (self === undefined || state.membership.leaving) return []
  const { incarnation, endpointsVersion } = self.record
  const record = describeSelf(state, { incarnation, endpointsVersion: endpointsVersion + 1 })
  return [...updateMember(state, { record, status: 'alive' }), ...pushToRandomPeers(state)]
}

function leaveFleet (state: NodeState): NodeEffect[] {
  const self = state.membership.members.get(state.identity.nodeId)
  if (self === undefined || state.membership.leaving) return []
  state.membership.leaving = true
  return [
    ...updateMember(state, { record: self.record, status: 'left' }),
    { slice: 'membership', type: 'removeRow', node: state.identity.nodeId },
    ...pushToRandomPeers(state)
  ]
}

/** Pushes a change of this node without waiting up to 250 ms for the next gossip round: callers' work depends on it. */
function pushToRandomPeers (state: NodeState): NodeEffect[] {
  return pickMembers(state, listPeers(state), PUSH_FANOUT).map(({ record }) => {
    return sendGossip(state, record.controlAddress)
  })
}
