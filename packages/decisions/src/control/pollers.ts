import type { DataCentreId, NodeId } from '@lavenderturn/types'
import { hash } from '../hash'
import type { MemberRecord } from '../membership/MemberRecord'
import type { MemberStatus } from '../membership/MembershipState'
import type { NodeState } from '../NodeState'
import type { Peer } from './ControlEvent'

/** Number of nodes per data centre that read the head. With three, one or two may fail. */
export const POLLERS_PER_DATA_CENTRE = 3

/** Data centre and status of a member. */
interface MemberSummary {
  readonly node: NodeId
  readonly dataCentre: DataCentreId
  readonly status: MemberStatus
}

/** A candidate for poller; the candidates with the lowest ranks are chosen. */
interface RankedNode {
  readonly node: NodeId
  readonly rank: number
}

/**
 * Recomputes the member counts and the pollers of each data centre. Runs at each tick, so that the request path only
 * reads the results.
 *
 * @param state - the node's state
 * @internal
 */
export function refreshMembers (state: NodeState): void {
  const { memberCounts, pollers } = state.control
  const live = new Map<DataCentreId, RankedNode[]>()
  memberCounts.clear()
  pollers.clear()
  evictStaleRanks(state)
  for (const member of listMemberSummaries(state)) {
    // Crashed members count until membership removes them after 24 h; members that left on purpose do not count.
    if (member.status !== 'left') memberCounts.set(member.dataCentre, (memberCounts.get(member.dataCentre) ?? 0) + 1)
    if (!isLive(member.status)) continue
    const ranked = live.get(member.dataCentre) ?? []
    live.set(member.dataCentre, insertRanked(ranked, { node: member.node, rank: getRank(state, member) }))
  }
  for (const [dataCentre, nodes] of live) pollers.set(dataCentre, nodes.map(({ node }) => node))
}

/**
 * Tells whether this node is a poller of its data centre.
 *
 * @param state - the node's state
 * @returns whether this node reads the head for its data centre
 * @internal
 */
export function isPoller (state: NodeState): boolean {
  const { dataCentre, nodeId } = state.identity
  return state.control.pollers.get(dataCentre)?.includes(nodeId) ?? false
}

/**
 * Tells whether a member counts as live; a suspect member still does.
 *
 * @param status - status of the member
 * @returns whether the member is live
 * @internal
 */
export function isLive (status: MemberStatus): boolean {
  return status === 'alive' || status === 'suspect'
}

/**
 * Computes the majority of a data centre's pollers.
 *
 * @param pollers - number of pollers of the data centre
 * @returns number of pollers that form a quorum
 * @internal
 */
export function pollerQuorum (pollers: number): number {
  return Math.floor(pollers / 2) + 1
}

/**
 * Looks up the address of a live peer.
 *
 * @param state - the node's state
 * @param node - id of the peer
 * @returns the peer, or undefined if the node is not a live member or is this node
 * @internal
 */
export function findPeer (state: NodeState, node: NodeId): Peer | undefined {
  const member = state.membership.members.get(node)
  if (member === undefined || node === state.identity.nodeId || !isLive(member.status)) return undefined
  return toPeer(member.record)
}

/**
 * Lists all live members except this node.
 *
 * @param state - the node's state
 * @returns their ids and control addresses
 * @internal
 */
export function listPeerAddresses (state: NodeState): Peer[] {
  return [...state.membership.members.values()]
    .filter(({ record, status }) => isLive(status) && record.nodeId !== state.identity.nodeId)
    .map(({ record }) => toPeer(record))
}

function toPeer ({ nodeId, controlAddress }: MemberRecord): Peer {
  return { node: nodeId, address: controlAddress }
}

function * listMemberSummaries (state: NodeState): Generator<MemberSummary> {
  const { nodeId, dataCentre } = state.identity
  yield { node: nodeId, dataCentre, status: 'alive' }
  for (const { record, status } of state.membership.members.values()) {
    if (record.nodeId !== nodeId) yield { node: record.nodeId, dataCentre: record.dataCentre, status }
  }
}

/** Keeps only the nodes with the lowest ranks, in order, which avoids sorting 2,600 members at each tick. */
function insertRanked (nodes: RankedNode[], candidate: RankedNode): RankedNode[] {
  const index = nodes.findIndex((node) => precedes(candidate, node))
  if (index >= 0) nodes.splice(index, 0, candidate)
  else if (nodes.length < POLLERS_PER_DATA_CENTRE) nodes.push(candidate)
  if (nodes.length > POLLERS_PER_DATA_CENTRE) nodes.pop()
  return nodes
}

function precedes (a: RankedNode, b: RankedNode): boolean {
  return a.rank < b.rank || (a.rank === b.rank && a.node < b.node)
}

/** Caches ranks, which never change: hashing 2,600 ids takes 2 ms and would delay requests too long. */
function getRank ({ control }: NodeState, { node, dataCentre }: MemberSummary): number {
  const known = control.pollerRanks.get(node)
  if (known !== undefined) return known
  const rank = hash(`poller/${dataCentre}/${node}`)
  control.pollerRanks.set(node, rank)
  return rank
}

function evictStaleRanks ({ control, membership, identity }: NodeState): void {
  if (control.pollerRanks.size <= membership.members.size + 1) return
  for (const node of control.pollerRanks.keys()) {
    if (!membership.members.has(node) && node !== identity.nodeId) control.pollerRanks.delete(node)
  }
}
