import type { Address, EndpointId, Millis, NodeId, ServiceId } from '@lavenderturn/types'
import type { EndpointRecord, MemberRecord } from './MemberRecord'

/** @public */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'left'

/** A member as this node knows it. @public */
export interface Member {
  record: MemberRecord
  status: MemberStatus
  /** When this node recorded the current status. */
  statusChangedAt: Millis
}

/** An endpoint with the node that serves it. @public */
export interface DirectoryEntry {
  readonly endpoint: EndpointRecord
  readonly member: Member
}

/** The probe that waits for an answer. @public */
export interface ProbeInProgress {
  readonly id: number
  readonly target: NodeId
  /** Whether other members have been requested to probe the target. */
  indirect: boolean
}

/** @public */
export interface MembershipState {
  /** Known members, including this node. */
  readonly members: Map<NodeId, Member>
  /** Endpoints of all live members by service. */
  readonly directory: Map<ServiceId, Map<EndpointId, DirectoryEntry>>
  /** Members whose changes are still gossiped, with the remaining number of transmissions. */
  readonly pendingUpdates: Map<NodeId, number>
  /** Members still to be probed in this cycle, last first; refilled in random order when empty. */
  readonly probeOrder: NodeId[]
  /** XOR of the hashes of all members; equal member lists have equal digests. */
  digest: number
  probe: ProbeInProgress | undefined
  nextProbeId: number
  /** Control addresses from the settings, contacted while no other member is known. */
  seeds: readonly Address[]
  /** When this node last requested a whole member list. */
  lastFullExchangeAt: Millis | undefined
  /** Whether this node has announced that it leaves. */
  leaving: boolean
}

/**
 * Creates the state of a node that knows no members.
 *
 * @returns the slice's initial state
 * @internal
 */
export function createMembershipState (): MembershipState {
  return {
    members: new Map(),
    directory: new Map(),
    pendingUpdates: new Map(),
    probeOrder: [],
    digest: 0,
    probe: undefined,
    nextProbeId: 0,
    seeds: [],
    lastFullExchangeAt: undefined,
    leaving: false
  }
}
