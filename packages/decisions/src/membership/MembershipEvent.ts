import type { Address, CallId, Millis } from '@lavenderturn/types'
import type { EventBase } from '../NodeEvent'
import type { Gossip } from './Gossip'
import type { MemberRecord } from './MemberRecord'
import type { MemberStatus } from './MembershipState'

/** The node's ports are open and it may look for others. @public */
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

/** Rows of the table service name other nodes. @public */
export interface RowsRead extends EventBase {
  readonly slice: 'membership'
  readonly type: 'rowsRead'
  readonly records: readonly MemberRecord[]
}

/** Time to exchange gossip. @public */
export interface GossipDue extends EventBase {
  readonly slice: 'membership'
  readonly type: 'gossipDue'
}

/** Time to probe a member. @public */
export interface ProbeDue extends EventBase {
  readonly slice: 'membership'
  readonly type: 'probeDue'
}

/** Another node sent gossip and waits for ours. @public */
export interface GossipAsked extends EventBase {
  readonly slice: 'membership'
  readonly type: 'gossipAsked'
  readonly callId: CallId
  readonly gossip: Gossip
  /** The caller wants the whole member list. */
  readonly full: boolean
}

/** Another node answered our gossip. @public */
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
  /** Absent when another member answered for the target. */
  readonly answer?: { readonly gossip: Gossip, readonly askedAt: Millis }
}

/** The target of a probe has not answered within the probe's timeout. @public */
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

/** The backend servers beside this node have changed. @public */
export interface LocalEndpointsChanged extends EventBase {
  readonly slice: 'membership'
  readonly type: 'localEndpointsChanged'
}

/** This node stops on purpose. @public */
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
