import { type DomainId, type NodeId, type PartitionId, toId } from '@lavenderturn/types'
import { hash } from '../hash'
import type { NodeState } from '../NodeState'
import { type AssignmentEntry, assignmentKey, domainOf, PARTITION_COUNT } from './Assignment'
import { isLive } from './pollers'

/**
 * An owner that is not a known member counts as dead only after this time since the start of this node, because a node
 * that has just started does not know all members yet.
 */
const UNKNOWN_OWNER_GRACE_MS = 60_000

/**
 * Assigns owners to the partitions that have none, for example in a domain that was just declared.
 *
 * @param state - the node's state
 * @param domains - the declared domains
 * @returns entries for the unassigned partitions
 * @internal
 */
export function assignUnowned (state: NodeState, domains: readonly DomainId[]): AssignmentEntry[] {
  const candidates = listCandidates(state)
  return domains.flatMap((domain) => listPartitions()
    .filter((partition) => !state.control.assignment.has(assignmentKey(partition, domain)))
    .map((partition) => ({
      partition, domain, owner: pickOwner(candidates, partition, domain), epoch: 1, sequence: 0
    })))
}

/**
 * Replaces owners that membership no longer lists as live.
 *
 * @param state - the node's state
 * @returns entries with new owners and incremented epochs
 * @internal
 */
export function replaceDeadOwners (state: NodeState): AssignmentEntry[] {
  const deadOwned = [...state.control.assignment.values()].filter(({ owner }) => isDeadOwner(state, owner))
  if (deadOwned.length === 0) return []
  const candidates = listCandidates(state)
  return deadOwned.map(({ partition, domain, epoch }) => ({
    partition, domain, owner: pickOwner(candidates, partition, domain), epoch: epoch + 1, sequence: 0
  }))
}

function isDeadOwner (state: NodeState, owner: NodeId): boolean {
  if (owner === state.identity.nodeId) return false
  const member = state.membership.members.get(owner)
  if (member === undefined) return state.now - state.control.startedAt > UNKNOWN_OWNER_GRACE_MS
  return !isLive(member.status)
}

/** A live member that can own partitions. */
interface Candidate {
  readonly node: NodeId
  readonly domain: DomainId
}

function listCandidates (state: NodeState): Candidate[] {
  const { nodeId } = state.identity
  const candidates = [{ node: nodeId, domain: domainOf(state, state.identity) }]
  for (const { record, status } of state.membership.members.values()) {
    if (record.nodeId === nodeId || !isLive(status)) continue
    candidates.push({ node: record.nodeId, domain: domainOf(state, record) })
  }
  return candidates
}

/**
 * Picks an owner by rendezvous hashing among the members of the domain, or among all members if the domain has no live
 * one.
 */
function pickOwner (candidates: readonly Candidate[], partition: PartitionId, domain: DomainId): NodeId {
  const inDomain = candidates.filter((candidate) => candidate.domain === domain)
  const eligible = inDomain.length > 0 ? inDomain : candidates
  let best: { readonly node: NodeId, readonly rank: number } | undefined
  for (const { node } of eligible) {
    const rank = hash(`owner/${partition}/${domain}/${node}`)
    if (best === undefined || rank < best.rank || (rank === best.rank && node < best.node)) best = { node, rank }
  }
  return best!.node
}

function listPartitions (): PartitionId[] {
  return Array.from({ length: PARTITION_COUNT }, (_, index) => toId<PartitionId>(index))
}
