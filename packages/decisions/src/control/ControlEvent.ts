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

/** An accepted document was supplied directly, not read from the store or from a peer. @public */
export interface DocumentAccepted extends ControlEventBase {
  readonly type: 'documentAccepted'
  readonly document: ControlDocument
}

/** The node's ports are open, and it starts to follow the control document. @public */
export interface ControlStarted extends ControlEventBase {
  readonly type: 'started'
}

/** The timer of the periodic work fired. @public */
export interface ControlTicked extends ControlEventBase {
  readonly type: 'ticked'
}

/** The head row was read. @public */
export interface HeadRead extends ControlEventBase {
  readonly type: 'headRead'
  /** When the read was started. The row was current at some time after this. */
  readonly askedAt: Millis
  /** Absent before the first declaration is accepted. */
  readonly head?: HeadRow
}

/** A peer notified this node of a revision. @public */
export interface NoticeHeard extends ControlEventBase {
  readonly type: 'noticeHeard'
  readonly from: NodeId
  readonly revision: Revision
}

/** A data centre's heartbeat, with its age when the message was sent. @public */
export interface HeartbeatReport {
  readonly dataCentre: DataCentreId
  readonly ageMillis: number
  readonly revision: Revision
  readonly members: number
}

/** A node's freshness, sent with gossip messages and on request. @public */
export interface FreshnessReport {
  /** Empty while the sender's newest read of the head is recent: the read alone proves freshness. */
  readonly heartbeats: readonly HeartbeatReport[]
  /** Age in milliseconds of the newest read of the head that the sender knows of, its own or a peer's. */
  readonly headReadAge?: number
  /** The highest revision known to the sender. */
  readonly revision: Revision
  /** Assignment entries that are not recorded in the head row yet. */
  readonly assignmentChanges: readonly AssignmentEntry[]
}

/** A gossip message with the sender's freshness report arrived. @public */
export interface GossipHeard extends ControlEventBase, FreshnessReport {
  readonly type: 'gossipHeard'
  readonly from: NodeId
  /**
   * When this node sent the call that the message answers; absent if the message is not an answer. Ages are used only
   * from answers: how long another message was in transit is unknown, for instance after a pause of this process.
   */
  readonly askedAt?: Millis
}

/** A peer answered a call, which proves that the path works in both directions. @public */
export interface MemberReplied extends ControlEventBase {
  readonly type: 'memberReplied'
  readonly node: NodeId
}

/** A peer asks whether its revision is still the latest. @public */
export interface ConfirmAsked extends ControlEventBase {
  readonly type: 'confirmAsked'
  readonly callId: CallId
}

/** A peer sent the freshness report that this node requested. @public */
export interface ConfirmAnswered extends ControlEventBase, FreshnessReport {
  readonly type: 'confirmAnswered'
  readonly from: NodeId
  readonly askedAt: Millis
  /** Whether the peer has no open intent, so that its answer counts towards its data centre's heartbeat. */
  readonly vouches: boolean
}

/** A peer requests the deltas that follow a revision. @public */
export interface DeltasAsked extends ControlEventBase {
  readonly type: 'deltasAsked'
  readonly callId: CallId
  readonly since: Revision
}

/** A peer requests the whole control document. @public */
export interface SnapshotAsked extends ControlEventBase {
  readonly type: 'snapshotAsked'
  readonly callId: CallId
}

/** A fetch of deltas from a peer or from the object store succeeded. @public */
export interface DeltasFetched extends ControlEventBase {
  readonly type: 'deltasFetched'
  readonly fetchId: FetchId
  /** The revision in force at the source. */
  readonly revision: Revision
  /** Empty if the peer does not hold the deltas that follow the requested revision. */
  readonly deltas: readonly ControlDelta[]
}

/** A fetch of a whole control document succeeded. @public */
export interface SnapshotFetched extends ControlEventBase {
  readonly type: 'snapshotFetched'
  readonly fetchId: FetchId
  readonly snapshot: ControlSnapshot
}

/** A fetch from a peer or from the object store failed. @public */
export interface FetchFailed extends ControlEventBase {
  readonly type: 'fetchFailed'
  readonly fetchId: FetchId
}

/** An operator submits a declaration. @public */
export interface ApplyAsked extends ControlEventBase {
  readonly type: 'applyAsked'
  readonly callId: CallId
  /** Revision of the declaration that the operator's change is based on; 0 for the first declaration. */
  readonly base: Revision
  readonly declaration: Declaration
}

/** An operator requests the status of the control document. @public */
export interface StatusAsked extends ControlEventBase {
  readonly type: 'statusAsked'
  readonly callId: CallId
}

/** The snapshot and the delta of a write are in the object store. @public */
export interface ObjectsStored extends ControlEventBase {
  readonly type: 'objectsStored'
  readonly token: WriterToken
  readonly snapshot: Digest
  readonly delta: Digest
}

/** The snapshot or the delta of a write could not be stored. @public */
export interface ObjectsFailed extends ControlEventBase {
  readonly type: 'objectsFailed'
  readonly token: WriterToken
}

/** Result of a compare-and-set of the head row in the table service. @public */
export type HeadWriteResult = 'written' | 'conditionFailed' | 'notWritten' | 'unknown'

/** A compare-and-set of the head row ended. @public */
export interface HeadWritten extends ControlEventBase {
  readonly type: 'headWritten'
  readonly token: WriterToken
  readonly result: HeadWriteResult
}

/** A writer announces its intent to write the head row with the given revision. @public */
export interface PrepareAsked extends ControlEventBase {
  readonly type: 'prepareAsked'
  readonly callId: CallId
  readonly token: WriterToken
  readonly revision: Revision
  readonly writer: NodeId
}

/** A poller recorded the intent of a write of this node. @public */
export interface PrepareAnswered extends ControlEventBase {
  readonly type: 'prepareAnswered'
  readonly token: WriterToken
  readonly from: NodeId
}

/** A poller asks for the outcome of a write of this node. @public */
export interface IntentAsked extends ControlEventBase {
  readonly type: 'intentAsked'
  readonly callId: CallId
  readonly token: WriterToken
}

/** A writer answered the question for the outcome of its write. @public */
export interface IntentAnswered extends ControlEventBase {
  readonly type: 'intentAnswered'
  readonly token: WriterToken
  readonly from: NodeId
  /** Absent while the write is open, and if the writer does not know the write. */
  readonly outcome?: WriteOutcome
}

/** This node handed a partition over. Gossip spreads the entry; the head row records it later. @public */
export interface HandedOver extends ControlEventBase {
  readonly type: 'handedOver'
  readonly entry: AssignmentEntry
}

/** An assignment entry changed; raised for the slices that depend on ownership. @public */
export interface OwnerChanged extends ControlEventBase {
  readonly type: 'ownerChanged'
  readonly entry: AssignmentEntry
  readonly previous?: AssignmentEntry
}

/** A peer with its control address. @public */
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
