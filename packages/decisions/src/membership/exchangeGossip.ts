import { type Address, type TimerId, toId } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { composeGossip } from './composeGossip'
import type { Gossip } from './Gossip'
import type { Member } from './MembershipState'
import { DEAD_RETENTION, FULL_EXCHANGE_INTERVAL, GOSSIP_INTERVAL, LEFT_RETENTION } from './membershipTimings'
import { listPeers, pickMembers } from './selectPeers'
import { removeMember } from './updateMember'

const GOSSIP_TIMER = toId<TimerId>('membership/gossip')

/**
 * Runs a round of gossip with one member of the same data centre. A poller also contacts one poller of another data
 * centre, as does a node that is alone in its own. While no other member is known, the seeds are contacted.
 *
 * @param state - the node's state
 * @returns the messages and the timer of the next round
 * @internal
 */
export function exchangeGossip (state: NodeState): NodeEffect[] {
  removeExpiredMembers(state)
  const addresses = selectPartners(state).map(({ record }) => record.controlAddress)
  const effects = addresses.map((address) => sendGossip(state, address))
  if (addresses.length === 0) effects.push(...gossipWithSeeds(state))
  effects.push({
    slice: 'timer',
    type: 'set',
    id: GOSSIP_TIMER,
    delay: GOSSIP_INTERVAL,
    event: { slice: 'membership', type: 'gossipDue' }
  })
  return effects
}

/**
 * Requests a member's whole list if the lists differ, at most once per `FULL_EXCHANGE_INTERVAL`. This recovers changes
 * of which every transmission was lost.
 *
 * @param state - the node's state
 * @param gossip - the member's message, after its changes have been applied
 * @returns the request, if one is needed
 * @internal
 */
export function reconcileMemberLists (state: NodeState, gossip: Gossip): NodeEffect[] {
  const { membership } = state
  if (gossip.membersDigest === membership.digest || membership.pendingUpdates.size > 0) return []
  if (membership.lastFullExchangeAt !== undefined &&
    state.now - membership.lastFullExchangeAt < FULL_EXCHANGE_INTERVAL) {
    return []
  }
  const sender = membership.members.get(gossip.from)
  if (sender === undefined) return []
  membership.lastFullExchangeAt = state.now
  return [sendGossip(state, sender.record.controlAddress, { full: true })]
}

/**
 * Composes a gossip message and sends it to another node.
 *
 * @param state - the node's state
 * @param address - control address of the other node
 * @param options - `full`: whether to request the whole member list
 * @returns the effect that sends the message
 * @internal
 */
export function sendGossip (
  state: NodeState,
  address: Address,
  { full = false }: { readonly full?: boolean } = {}
): NodeEffect {
  return { slice: 'membership', type: 'sendGossip', address, gossip: composeGossip(state), askedAt: state.now, full }
}

function selectPartners (state: NodeState): Member[] {
  const peers = listPeers(state)
  const { dataCentre, nodeId } = state.identity
  const local = pickMembers(state, peers.filter(({ record }) => record.dataCentre === dataCentre), 1)
  const isPoller = state.control.pollers.get(dataCentre)?.includes(nodeId) ?? false
  if (!isPoller && local.length > 0) return local
  return [...local, ...pickRemotePoller(state, peers)]
}

function pickRemotePoller (state: NodeState, peers: readonly Member[]): Member[] {
  const remote = peers.filter(({ record }) => record.dataCentre !== state.identity.dataCentre)
  const [member] = pickMembers(state, remote, 1)
  if (member === undefined) return []
  const pollers = state.control.pollers.get(member.record.dataCentre) ?? []
  const livePollers = peers.filter(({ record }) => pollers.includes(record.nodeId))
  return livePollers.length === 0 ? [member] : pickMembers(state, livePollers, 1)
}

function gossipWithSeeds (state: NodeState): NodeEffect[] {
  const { seeds } = state.membership
  const own = state.identity.controlAddress
  return seeds.filter((seed) => seed !== own).map((seed) => sendGossip(state, seed, { full: true }))
}

function removeExpiredMembers ({ now, membership }: NodeState): void {
  for (const member of membership.members.values()) {
    const retention = member.status === 'dead' ? DEAD_RETENTION : LEFT_RETENTION
    const expirable = member.status === 'dead' || member.status === 'left'
    if (expirable && now - member.statusChangedAt > retention) removeMember(membership, member)
  }
}
