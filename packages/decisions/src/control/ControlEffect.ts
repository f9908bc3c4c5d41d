import type { CallId, DataCentreId, FetchId, Millis, ResultCodeName, Revision, WriterToken } from '@lavenderturn/types'
import type { FreshnessReport, Peer } from './ControlEvent'
import type { WriteOutcome } from './ControlState'
import type { ControlDelta, ControlSnapshot, WriteIntent } from './HeadRow'

interface ControlEffectBase {
  readonly slice: 'control'
}

/** Notifies a peer that a revision exists. @public */
export interface PushNotice extends ControlEffectBase {
  readonly type: 'pushNotice'
  readonly peer: Peer
  readonly revision: Revision
}

/** Requests a peer's freshness report. The answer arrives as `confirmAnswered`; a failure is not reported. @public */
export interface AskConfirm extends ControlEffectBase {
  readonly type: 'askConfirm'
  readonly peer: Peer
  readonly askedAt: Millis
}

/** Fetches the deltas after a revision from a peer. Ends with `deltasFetched` or `fetchFailed`. @public */
export interface FetchDeltas extends ControlEffectBase {
  readonly type: 'fetchDeltas'
  readonly fetchId: FetchId
  readonly peer: Peer
  readonly since: Revision
}

/** Fetches the whole control document from a peer. Ends with `snapshotFetched` or `fetchFailed`. @public */
export interface FetchSnapshot extends ControlEffectBase {
  readonly type: 'fetchSnapshot'
  readonly fetchId: FetchId
  readonly peer: Peer
}

/** Announces a write intent to a poller. The answer arrives as `prepareAnswered`; a failure is not reported. @public */
export interface AskPrepare extends ControlEffectBase {
  readonly type: 'askPrepare'
  readonly peer: Peer
  readonly intent: WriteIntent
}

/** Asks a writer for the outcome of a write. It arrives as `intentAnswered`; a failure is not reported. @public */
export interface AskIntent extends ControlEffectBase {
  readonly type: 'askIntent'
  readonly peer: Peer
  readonly token: WriterToken
}

/** Answers `confirmAsked`. @public */
export interface AnswerConfirm extends ControlEffectBase {
  readonly type: 'answerConfirm'
  readonly callId: CallId
  readonly report: FreshnessReport
  /** Whether this node has no open intent, so that its answer counts towards its data centre's heartbeat. */
  readonly vouches: boolean
}

/** Answers `deltasAsked`. @public */
export interface AnswerDeltas extends ControlEffectBase {
  readonly type: 'answerDeltas'
  readonly callId: CallId
  /** The revision in force at this node. */
  readonly revision: Revision
  readonly deltas: readonly ControlDelta[]
}

/** Answers `snapshotAsked`. @public */
export interface AnswerSnapshot extends ControlEffectBase {
  readonly type: 'answerSnapshot'
  readonly callId: CallId
  /** Absent when this node has no control document yet. */
  readonly snapshot?: ControlSnapshot
}

/** Answers `prepareAsked`: the intent is recorded. @public */
export interface AnswerPrepare extends ControlEffectBase {
  readonly type: 'answerPrepare'
  readonly callId: CallId
}

/** Answers `intentAsked`. @public */
export interface AnswerIntent extends ControlEffectBase {
  readonly type: 'answerIntent'
  readonly callId: CallId
  /** Absent while the write is open, and for a write that this node does not know. */
  readonly outcome?: WriteOutcome
}

/** Result of an operator's `apply`. @public */
export type ApplyResult =
  | 'applied'
  | Extract<ResultCodeName, 'invalidDeclaration' | 'staleBase' | 'storeUnreachable' | 'noMajority' | 'acceptanceUnknown'>

/** Answers `applyAsked`. @public */
export interface AnswerApply extends ControlEffectBase {
  readonly type: 'answerApply'
  readonly callId: CallId
  readonly result: ApplyResult
  /** The accepted revision, or the declaration revision in force at this node if the change was not applied. */
  readonly revision: Revision
}

/** State of the control document as one node knows it. @public */
export interface ControlStatus {
  readonly revision: Revision
  readonly declarationRevision: Revision
  /** The highest revision known to exist, whether or not this node holds it. */
  readonly highestHeard: Revision
  readonly fresh: boolean
  /** Whether data centres that hold a majority of the members answered within the last second. */
  readonly majorityReachable: boolean
  readonly openIntents: number
  readonly reachableDataCentres: readonly DataCentreId[]
}

/** Answers `statusAsked`. @public */
export interface AnswerStatus extends ControlEffectBase {
  readonly type: 'answerStatus'
  readonly callId: CallId
  readonly status: ControlStatus
}

/** @public */
export type ControlEffect =
  | AnswerApply
  | AnswerConfirm
  | AnswerDeltas
  | AnswerIntent
  | AnswerPrepare
  | AnswerSnapshot
  | AnswerStatus
  | AskConfirm
  | AskIntent
  | AskPrepare
  | FetchDeltas
  | FetchSnapshot
  | PushNotice
