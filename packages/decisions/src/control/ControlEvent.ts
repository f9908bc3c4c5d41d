import type { ControlDocument, Declaration } from '@lavenderturn/declaration'
import type {
  Address, CallId, DataCentreId, Digest, FetchId, Millis, NodeId, Revision, WriterToken
} from '@lavenderturn/types'
import type { EventBase } from '../NodeEvent'
import type { AssignmentEntry } from './Assignment'
import type { ControlDelta, ControlSnapshot, HeadRow } from './HeadRow'
import type { WriteOutcome } from './ControlState'

interface ControlEventBase extends EventBase {
  readonly slice: 'control'
}

/** A document that is known to be the accepted one, from outside the store and the peers. @public */
export interface DocumentAccepted extends ControlEventBase {
  readonly type: 'documentAccepted'
  readonly document: ControlDocument
}

/** The node has its ports open and starts to follow the control document. @public */
export interface ControlStarted extends ControlEventBase {
  readonly type: 'started'
}

/** Time of the periodic work. @public */
export interface ControlTicked extends ControlEventBase {
  readonly type: 'ticked'
}

/** The head row was read. @public */
export interface HeadRead extends ControlEventBase {
  readonly type: 'headRead'
  /** When the read was started; the row was valid at some time from then on. */
  readonly askedAt: Millis
  /** Absent before the first declaration is accepted. */
  readonly head?: HeadRow
}

/** A peer has pushed the notice of a revision. @public */
export interface NoticeHeard extends ControlEventBase {
  readonly type: 'noticeHeard'
  readonly from: NodeId
  readonly revision: Revision
}

/** A heartbeat of a data centre's pollers, with its age at the time of the message. @public */
export interface HeartbeatReport {
  readonly dataCentre: DataCentreId
  readonly ageMillis: number
  readonly revision: Revision
  readonly members: number
}

/** What a node says of its freshness on gossip messages and when it is asked. @public */
export interface FreshnessReport {
  /** Left out while the newest read of the head is recent, because they are not needed then. */
  readonly heartbeats: readonly HeartbeatReport[]
  /** Age of the newest read of the head that the sender knows of, in milliseconds. */
  readonly headReadAge?: number
  /** The highest revision that the sender has heard of. */
  readonly revision: Revision
  /** Entries of the assignment that the head row does not show yet. */
  readonly assignmentChanges: readonly AssignmentEntry[]
}

/** A gossip message came with the sender's freshness report. @public */
export interface GossipHeard extends ControlEventBase, FreshnessReport {
  readonly type: 'gossipHeard'
  readonly from: NodeId
  /**
   * When this node sent the call that the message answers; absent for messages that came unasked. Ages count only in
   * answers: the time that an unasked message spent on its way is unknown, for instance after a pause of this process.
   */
  readonly askedAt?: Millis
}

/** A peer answered a call, which proves both directions of the path. @public */
export interface MemberReplied extends ControlEventBase {
  readonly type: 'memberReplied'
  readonly node: NodeId
}

/** A peer asks whether its revision is still the latest. @public */
export interface ConfirmAsked extends ControlEventBase {
  readonly type: 'confirmAsked'
  readonly callId: CallId
}

/** A peer has confirmed what it knows. @public */
export interface ConfirmAnswered extends ControlEventBase, FreshnessReport {
  readonly type: 'confirmAnswered'
  readonly from: NodeId
  readonly askedAt: Millis
  /** Whether the peer has no open intent, so that its answer counts towards its data centre's heartbeat. */
  readonly vouches: boolean
}

/** A peer asks for the deltas that follow a revision. @public */
export interface DeltasAsked extends ControlEventBase {
  readonly type: 'deltasAsked'
  readonly callId: CallId
  readonly since: Revision
}

/** A peer asks for the whole control document. @public */
export interface SnapshotAsked extends ControlEventBase {
  readonly type: 'snapshotAsked'
  readonly callId: CallId
}

/** Deltas came from a peer or from the object store; empty: the peer holds none that follow. @public */
export interface DeltasFetched extends ControlEventBase {
  readonly type: 'deltasFetched'
  readonly fetchId: FetchId
  /** The revision in force at the source. */
  readonly revision: Revision
  readonly deltas: readonly ControlDelta[]
}

/** A whole control document came. @public */
export interface SnapshotFetched extends ControlEventBase {
  readonly type: 'snapshotFetched'
  readonly fetchId: FetchId
  readonly snapshot: ControlSnapshot
}

/** The peer or the object store did not answer. @public */
export interface FetchFailed extends ControlEventBase {
  readonly type: 'fetchFailed'
  readonly fetchId: FetchId
}

/** An operator asks for a declaration to be accepted. @public */
export interface ApplyAsked extends ControlEventBase {
  readonly type: 'applyAsked'
  readonly callId: CallId
  /** Revision of the declaration that the operator started from; 0 for the first. */
  readonly base: Revision
  readonly declaration: Declaration
}

/** An operator asks for the state of the control document. @public */
export interface StatusAsked extends ControlEventBase {
  readonly type: 'statusAsked'
  readonly callId: CallId
}

/** The objects of a write are in the object store. @public */
export interface ObjectsStored extends ControlEventBase {
  readonly type: 'objectsStored'
  readonly token: WriterToken
  readonly snapshot: Digest
  readonly delta: Digest
}

/** The objects of a write could not be stored. @public */
export interface ObjectsFailed extends ControlEventBase {
  readonly type: 'objectsFailed'
  readonly token: WriterToken
}

/** What the table service made of a compare-and-set. @public */
export type HeadWriteResult = 'written' | 'conditionFailed' | 'notWritten' | 'unknown'

/** @public */
export interface HeadWritten extends ControlEventBase {
  readonly type: 'headWritten'
  readonly token: WriterToken
  readonly result: HeadWriteResult
}

/** A writer announces that it may raise the head row. @public */
export interface PrepareAsked extends ControlEventBase {
  readonly type: 'prepareAsked'
  readonly callId: CallId
  readonly token: WriterToken
  readonly revision: Revision
  readonly writer: NodeId
}

/** A poller has recorded the intent of a write. @public */
export interface PrepareAnswered extends ControlEventBase {
  readonly type: 'prepareAnswered'
  readonly token: WriterToken
  readonly from: NodeId
}

/** A poller asks what became of a write. @public */
export interface IntentAsked extends ControlEventBase {
  readonly type: 'intentAsked'
  readonly callId: CallId
  readonly token: WriterToken
}

/** The writer has told what became of a write; without outcome it is still open. @public */
export interface IntentAnswered extends ControlEventBase {
  readonly type: 'intentAnswered'
  readonly token: WriterToken
  readonly from: NodeId
  readonly outcome?: WriteOutcome
}

/** This node has handed a partition over; the entry is spread by gossip and recorded in the head later. @public */
export interface HandedOver extends ControlEventBase {
  readonly type: 'handedOver'
  readonly entry: AssignmentEntry
}

/** An entry of the assignment has changed; raised for the slices that depend on ownership. @public */
export interface OwnerChanged extends ControlEventBase {
  readonly type: 'ownerChanged'
  readonly entry: AssignmentEntry
  readonly previous?: AssignmentEntry
}

/** Where a peer is reached. @public */
export interface Peer {
  readonly node: NodeId
  readonly address: Address
}

/** @public */
export type ControlEvent =
  | ApplyAsked
  | ConfirmAnswered
  | ConfirmAsked
  | ControlStarted
  | ControlTicked
  | DeltasAsked
  | DeltasFetched
  | DocumentAccepted
  | FetchFailed
  | GossipHeard
  | HandedOver
  | HeadRead
  | HeadWritten
  | IntentAnswered
  | IntentAsked
  | MemberReplied
  | NoticeHeard
  | ObjectsFailed
  | ObjectsStored
  | OwnerChanged
  | PrepareAnswered
  | PrepareAsked
  | SnapshotAsked
  | SnapshotFetched
  | StatusAsked
