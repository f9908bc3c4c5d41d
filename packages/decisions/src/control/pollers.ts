import type { DataCentreId, NodeId } from '@lavenderturn/types'
import { hash } from '../hash'
import type { MemberRecord } from '../membership/MemberRecord'
import type { MemberStatus } from '../membership/MembershipState'
import type { NodeState } from '../NodeState'
import type { Peer } from './ControlEvent'

/** Nodes of each data centre that read the head: three, so that one or two may fail. */
export const POLLERS_PER_DATA_CENTRE = 3

/** A member with its place and status; the node itself is always one. */
interface MemberSummary {
  readonly node: NodeId
  readonly dataCentre: DataCentreId
  readonly status: MemberStatus
}

interface RankedNode {
  readonly node: NodeId
  readonly rank: number
}

/**
 * Counts members and picks pollers anew. Called on each tick, so that the request path reads counts only.
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
    // Crashed members count until membership drops them after 24 h; members that left on purpose do not count.
    if (member.status !== 'left') memberCounts.set(member.dataCentre, (memberCounts.get(member.dataCentre) ?? 0) + 1)
    if (!isLive(member.status)) continue
    const nodes = live.get(member.dataCentre) ?? []
    live.set(member.dataCentre, insertRanked(nodes, { node: member.node, rank: getRank(state, member) }))
  }
  for (const [dataCentre, nodes] of live) pollers.set(dataCentre, nodes.map(({ node }) => node))
}

/**
 * @param state - the node's state
 * @returns whether this node reads the head for its data centre
 * @internal
 */
export function isPoller (state: NodeState): boolean {
  const { dataCentre, nodeId } = state.identity
  return state.control.pollers.get(dataCentre)?.includes(nodeId) ?? false
}

/**
 * @param status - status of a member
 * @returns whether the member takes part
 * @internal
 */
export function isLive (status: MemberStatus): boolean {
  return status === 'alive' || status === 'suspect'
}

/**
 * @param pollers - number of pollers of a data centre
 * @returns how many of them speak for the data centre
 * @internal
 */
export function pollerQuorum (pollers: number): number {
  return Math.floor(pollers / 2) + 1
}

/**
 * @param state - the node's state
 * @param node - another node
 * @returns where it is reached, or undefined if it takes no part or is this node
 * @internal
 */
export function findPeer (state: NodeState, node: NodeId): Peer | undefined {
  const member = state.membership.members.get(node)
  if (member === undefined || node === state.identity.nodeId || !isLive(member.status)) return undefined
  return toPeer(member.record)
}

/**
 * @param state - the node's state
 * @returns all live members but this node
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

/** Keeps the lowest ranks, in order; 2,600 members are not sorted at each tick. */
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

/** Hashing 2,600 ids takes 2 ms, longer than a request may be held up; a node's rank never changes. */
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
