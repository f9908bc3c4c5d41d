import type { Address, EndpointId, Millis, NodeId, ServiceId } from '@lavenderturn/types'
import type { EndpointRecord, MemberRecord } from './MemberRecord'

/** @public */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'left'

/** @public */
export interface Member {
  record: MemberRecord
  status: MemberStatus
  /** When this node learned of the status. */
  statusChangedAt: Millis
}

/** An endpoint with the node that serves it. @public */
export interface DirectoryEntry {
  readonly endpoint: EndpointRecord
  readonly member: Member
}

/** A probe that has not been answered yet. @public */
export interface ProbeInProgress {
  readonly id: number
  readonly target: NodeId
  /** Whether other members have been asked to probe the target. */
  indirect: boolean
}

/** @public */
export interface MembershipState {
  readonly members: Map<NodeId, Member>
  /** Index of all endpoints of members by service. */
  readonly directory: Map<ServiceId, Map<EndpointId, DirectoryEntry>>
  /** Changes that still ride on gossip, with the number of messages left for each. */
  readonly pendingUpdates: Map<NodeId, number>
  /** Members in the order in which they are probed; refilled in random order when empty. */
  readonly probeOrder: NodeId[]
  /** XOR of the hashes of all entries; equal lists have equal digests. */
  digest: number
  probe: ProbeInProgress | undefined
  nextProbeId: number
  /** Control addresses from the settings, asked until the first member is known. */
  seeds: readonly Address[]
  /** When this node last asked for a whole member list. */
  lastFullExchangeAt: Millis | undefined
  /** Whether this node has told the others that it leaves. */
  leaving: boolean
}

/**
 * @returns the state of a node that knows no member
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
