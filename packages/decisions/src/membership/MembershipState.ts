import type { EndpointId, NodeId, ServiceId } from '@lavenderturn/types'
import type { EndpointRecord, MemberRecord } from './MemberRecord'

/** @public */
export type MemberStatus = 'alive' | 'suspect' | 'dead' | 'left'

/** @public */
export interface Member {
  record: MemberRecord
  status: MemberStatus
}

/** An endpoint with the node that serves it. @public */
export interface DirectoryEntry {
  readonly endpoint: EndpointRecord
  readonly member: Member
}

/** @public */
export interface MembershipState {
  readonly members: Map<NodeId, Member>
  /** Index of all endpoints of members by service. */
  readonly directory: Map<ServiceId, Map<EndpointId, DirectoryEntry>>
}

/**
 * @returns the state of a node that knows no member
 * @internal
 */
export function createMembershipState (): MembershipState {
  return { members: new Map(), directory: new Map() }
}
