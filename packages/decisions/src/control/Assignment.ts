import {
  type DataCentreId, type DomainId, type NodeId, type PartitionId, type RegionId, type ServiceId, type TeamId, toId
} from '@lavenderturn/types'
import { hash } from '../hash'
import type { NodeState } from '../NodeState'

/** Slices of the hash space of team and service ids. */
export const PARTITION_COUNT = 64

/** Who owns a partition in one domain. @public */
export interface AssignmentEntry {
  readonly partition: PartitionId
  readonly domain: DomainId
  readonly owner: NodeId
  /** Raised by a take-over from a dead owner, through the head row. */
  readonly epoch: number
  /** Raised by the owner itself when it hands over; starts at 0 in each epoch. */
  readonly sequence: number
}

/** Entries by `assignmentKey`. @public */
export type Assignment = Map<string, AssignmentEntry>

/**
 * @param partition - the partition
 * @param domain - the domain
 * @returns the key of their entry in an `Assignment`
 * @public
 */
export function assignmentKey (partition: PartitionId, domain: DomainId): string {
  return `${partition}/${domain}`
}

/**
 * @param id - a team or a service
 * @returns the partition that it belongs to
 * @public
 */
export function partitionOf (id: TeamId | ServiceId): PartitionId {
  return toId(hash(id) % PARTITION_COUNT)
}

/**
 * @param state - the node's state
 * @param partition - the partition
 * @param domain - the domain
 * @returns who owns the partition there, or undefined before the first assignment
 * @public
 */
export function findOwner (state: NodeState, partition: PartitionId, domain: DomainId): AssignmentEntry | undefined {
  return state.control.assignment.get(assignmentKey(partition, domain))
}

/**
 * Tells which of two entries for the same partition and domain is in force. An epoch goes before a sequence, because
 * a take-over fences off the owner of the older epoch and whatever it hands over later.
 *
 * @param candidate - an entry
 * @param current - another entry, or undefined
 * @returns whether `candidate` replaces `current`
 * @public
 */
export function supersedes (candidate: AssignmentEntry, current: AssignmentEntry | undefined): boolean {
  if (current === undefined || candidate.epoch > current.epoch) return true
  return candidate.epoch === current.epoch && candidate.sequence > current.sequence
}

/**
 * Lists the domains over which every team's rate is divided. They come from the declaration and not from the members,
 * so that the division does not change when nodes come and go.
 *
 * @param state - the node's state
 * @returns the domains; empty before the first control document
 * @public
 */
export function listDomains (state: NodeState): readonly DomainId[] {
  return state.control.document?.domains ?? []
}

/**
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
