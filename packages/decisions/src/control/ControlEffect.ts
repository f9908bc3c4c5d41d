import type { CallId, DataCentreId, FetchId, Millis, ResultName, Revision, WriterToken } from '@lavenderturn/types'
import type { FreshnessReport, Peer } from './ControlEvent'
import type { WriteOutcome } from './ControlState'
import type { ControlDelta, ControlSnapshot, WriteIntent } from './HeadRow'

interface ControlEffectBase {
  readonly slice: 'control'
}

/** Tells a peer that a revision exists. @public */
export interface PushNotice extends ControlEffectBase {
  readonly type: 'pushNotice'
  readonly peer: Peer
  readonly revision: Revision
}

/** Asks a peer for its freshness report; reported as `confirmAnswered`, or not at all. @public */
export interface AskConfirm extends ControlEffectBase {
  readonly type: 'askConfirm'
  readonly peer: Peer
  readonly askedAt: Millis
}

/** Asks a peer for the deltas after a revision; reported as `deltasFetched` or `fetchFailed`. @public */
export interface FetchDeltas extends ControlEffectBase {
  readonly type: 'fetchDeltas'
  readonly fetchId: FetchId
  readonly peer: Peer
  readonly since: Revision
}

/** Asks a peer for the whole control document; reported as `snapshotFetched` or `fetchFailed`. @public */
export interface FetchSnapshot extends ControlEffectBase {
  readonly type: 'fetchSnapshot'
  readonly fetchId: FetchId
  readonly peer: Peer
}

/** Announces an intent to a poller; reported as `prepareAnswered`, or not at all. @public */
export interface AskPrepare extends ControlEffectBase {
  readonly type: 'askPrepare'
  readonly peer: Peer
  readonly intent: WriteIntent
}

/** Asks a writer what became of its write; reported as `intentAnswered`, or not at all. @public */
export interface AskIntent extends ControlEffectBase {
  readonly type: 'askIntent'
  readonly peer: Peer
  readonly token: WriterToken
}

/** @public */
export interface AnswerConfirm extends ControlEffectBase {
  readonly type: 'answerConfirm'
  readonly callId: CallId
  readonly report: FreshnessReport
  readonly vouches: boolean
}

/** @public */
export interface AnswerDeltas extends ControlEffectBase {
  readonly type: 'answerDeltas'
  readonly callId: CallId
  /** The revision in force here. */
  readonly revision: Revision
  readonly deltas: readonly ControlDelta[]
}

/** @public */
export interface AnswerSnapshot extends ControlEffectBase {
  readonly type: 'answerSnapshot'
  readonly callId: CallId
  readonly snapshot?: ControlSnapshot
}

/** @public */
export interface AnswerPrepare extends ControlEffectBase {
  readonly type: 'answerPrepare'
  readonly callId: CallId
}

/** @public */
export interface AnswerIntent extends ControlEffectBase {
  readonly type: 'answerIntent'
  readonly callId: CallId
  readonly outcome?: WriteOutcome
}

/** How an `apply` ended. @public */
export type ApplyResult =
  | 'applied'
  | Extract<ResultName, 'invalidDeclaration' | 'staleBase' | 'storeUnreachable' | 'noMajority' | 'acceptanceUnknown'>

/** @public */
export interface AnswerApply extends ControlEffectBase {
  readonly type: 'answerApply'
  readonly callId: CallId
  readonly result: ApplyResult
  /** The accepted revision, or the revision of the declaration in force as far as this node knows. */
  readonly revision: Revision
}

/** State of the control document at one node. @public */
export interface ControlStatus {
  readonly revision: Revision
  readonly declarationRevision: Revision
  readonly highestHeard: Revision
  readonly fresh: boolean
  /** Whether nodes of data centres that hold a majority answered within the last second. */
  readonly majorityReachable: boolean
  readonly openIntents: number
  readonly reachableDataCentres: readonly DataCentreId[]
}

/** @public */
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
