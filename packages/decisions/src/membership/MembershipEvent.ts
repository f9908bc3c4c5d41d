import type { Address, CallId, Millis } from '@lavenderturn/types'
import type { EventBase } from '../NodeEvent'
import type { Gossip } from './Gossip'
import type { MemberRecord } from './MemberRecord'
import type { MemberStatus } from './MembershipState'

/** The node's ports are open, and it may contact other nodes. @public */
export interface MembershipStarted extends EventBase {
  readonly slice: 'membership'
  readonly type: 'started'
  /** Control addresses of other nodes, from the settings. */
  readonly seeds: readonly Address[]
}

/** A member's record or status was learned. @public */
export interface MemberLearned extends EventBase {
  readonly slice: 'membership'
  readonly type: 'memberLearned'
  readonly record: MemberRecord
  readonly status: MemberStatus
}

/** The rows of nodes were read from the table service. @public */
export interface RowsRead extends EventBase {
  readonly slice: 'membership'
  readonly type: 'rowsRead'
  readonly records: readonly MemberRecord[]
}

/** The gossip timer fired. @public */
export interface GossipDue extends EventBase {
  readonly slice: 'membership'
  readonly type: 'gossipDue'
}

/** The probe timer fired. @public */
export interface ProbeDue extends EventBase {
  readonly slice: 'membership'
  readonly type: 'probeDue'
}

/** Another node sent gossip and waits for an answer. @public */
export interface GossipAsked extends EventBase {
  readonly slice: 'membership'
  readonly type: 'gossipAsked'
  readonly callId: CallId
  readonly gossip: Gossip
  /** Whether the caller requests the whole member list. */
  readonly full: boolean
}

/** Another node answered this node's gossip. @public */
export interface GossipAnswered extends EventBase {
  readonly slice: 'membership'
  readonly type: 'gossipAnswered'
  readonly gossip: Gossip
  readonly askedAt: Millis
}

/** The target of a probe answered, directly or through another member. @public */
export interface ProbeAnswered extends EventBase {
  readonly slice: 'membership'
  readonly type: 'probeAnswered'
  readonly probeId: number
  /** Absent if the answer came through another member. */
  readonly answer?: { readonly gossip: Gossip, readonly askedAt: Millis }
}

/** The target of a probe did not answer within the timeout. @public */
export interface ProbeTimedOut extends EventBase {
  readonly slice: 'membership'
  readonly type: 'probeTimedOut'
  readonly probeId: number
}

/** A suspicion was not refuted in time. @public */
export interface SuspicionExpired extends EventBase {
  readonly slice: 'membership'
  readonly type: 'suspicionExpired'
  readonly record: MemberRecord
}

/** The local backend servers of this node changed. @public */
export interface LocalEndpointsChanged extends EventBase {
  readonly slice: 'membership'
  readonly type: 'localEndpointsChanged'
}

/** This node leaves the fleet on purpose. @public */
export interface LeaveStarted extends EventBase {
  readonly slice: 'membership'
  readonly type: 'leaveStarted'
}

/** @public */
export type MembershipEvent =
  | GossipAnswered
  | GossipAsked
  | GossipDue
  | LeaveStarted
  | LocalEndpointsChanged
  | MemberLearned
  | MembershipStarted
  | ProbeAnswered
  | ProbeDue
  | ProbeTimedOut
  | RowsRead
  | SuspicionExpired
