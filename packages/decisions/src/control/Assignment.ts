import {
  type DataCentreId, type DomainId, type NodeId, type PartitionId, type RegionId, type ServiceId, type TeamId, toId
} from '@lavenderturn/types'
import { hash } from '../hash'
import type { NodeState } from '../NodeState'

/** Number of partitions into which the hashes of team and service ids are divided. */
export const PARTITION_COUNT = 64

/** The owner of a partition in one domain. @public */
export interface AssignmentEntry {
  readonly partition: PartitionId
  readonly domain: DomainId
  readonly owner: NodeId
  /** Incremented, through the head row, when a new owner replaces a dead one. */
  readonly epoch: number
  /** Incremented by the owner when it hands the partition over; starts at 0 in each epoch. */
  readonly sequence: number
}

/** Assignment entries, keyed by `assignmentKey`. @public */
export type Assignment = Map<string, AssignmentEntry>

/**
 * Builds the key of an entry in an `Assignment`.
 *
 * @param partition - partition of the entry
 * @param domain - domain of the entry
 * @returns the key
 * @public
 */
export function assignmentKey (partition: PartitionId, domain: DomainId): string {
  return `${partition}/${domain}`
}

/**
 * Maps a team or service to its partition by the hash of its id.
 *
 * @param id - id of a team or a service
 * @returns the partition that it belongs to
 * @public
 */
export function partitionOf (id: TeamId | ServiceId): PartitionId {
  return toId(hash(id) % PARTITION_COUNT)
}

/**
 * Looks up the owner of a partition in a domain.
 *
 * @param state - the node's state
 * @param partition - partition to look up
 * @param domain - domain to look it up in
 * @returns the assignment entry, or undefined before the first assignment
 * @public
 */
export function findOwner (state: NodeState, partition: PartitionId, domain: DomainId): AssignmentEntry | undefined {
  return state.control.assignment.get(assignmentKey(partition, domain))
}

/**
 * Compares two entries for the same partition and domain. The epoch takes precedence over the sequence, because
 * replacing a dead owner fences off that owner and any hand-over that it makes later.
 *
 * @param candidate - entry that was received or created
 * @param current - entry in force, or undefined if there is none
 * @returns whether `candidate` replaces `current`
 * @public
 */
export function supersedes (candidate: AssignmentEntry, current: AssignmentEntry | undefined): boolean {
  if (current === undefined || candidate.epoch > current.epoch) return true
  return candidate.epoch === current.epoch && candidate.sequence > current.sequence
}

/**
 * Lists the domains among which every team's rate is divided. They come from the declaration and not from the current
 * members, so that the division does not change when nodes join or leave.
 *
 * @param state - the node's state
 * @returns the domains; empty before the first control document
 * @public
 */
export function listDomains (state: NodeState): readonly DomainId[] {
  return state.control.document?.domains ?? []
}

/**
 * Maps a data centre to its domain: the region or the data centre itself, depending on the declaration.
 *
 * @param state - the node's state
 * @param place - a data centre and its region
 * @returns the domain that the data centre belongs to
 * @public
 */
export function domainOf (
  state: NodeState,
  { dataCentre, region }: { readonly dataCentre: DataCentreId, readonly region: RegionId }
): DomainId {
  const inRegions = state.control.document?.domainKind === 'region'
  return toId(inRegions ? region : dataCentre)
}
