import type { CallId, DomainId, RequestId } from '@lavenderturn/types'
import type { EventBase } from '../NodeEvent'
import type { ClaimAsk, ClaimReply, ClaimSettlement, CopyAsk, CopyReply } from './ClaimMessages'

/** Too few owners answered a claim in time. @public */
export interface ClaimExpired extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'claimExpired'
  readonly requestId: RequestId
}

/** Owners that have not recorded a claim are asked again. @public */
export interface ClaimRetryDue extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'claimRetryDue'
  readonly requestId: RequestId
}

/** A gateway claims a key; `idempotency/answerClaim` answers the call. @public */
export interface ClaimAsked extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'claimAsked'
  readonly callId: CallId
  readonly ask: ClaimAsk
}

/** An owner answered a claim. @public */
export interface ClaimAnswered extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'claimAnswered'
  readonly reply: ClaimReply
}

/** A gateway settles a claim; `idempotency/answerSettle` answers the call. @public */
export interface SettleAsked extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'settleAsked'
  readonly callId: CallId
  readonly settlement: ClaimSettlement
}

/** An owner took a settlement into its records. @public */
export interface SettleAnswered extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'settleAnswered'
  readonly requestId: RequestId
  readonly domain: DomainId
}

/** A settlement that not all owners have confirmed is sent again. @public */
export interface SettleDue extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'settleDue'
  readonly requestId: RequestId
}

/** A new owner copies records; `idempotency/answerCopy` answers the call. @public */
export interface CopyAsked extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'copyAsked'
  readonly callId: CallId
  readonly ask: CopyAsk
}

/** An owner answered with a page of records. @public */
export interface CopyAnswered extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'copyAnswered'
  readonly ask: CopyAsk
  readonly reply: CopyReply
}

/** Copying is tried again where it has not finished. @public */
export interface CopyDue extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'copyDue'
  readonly key: string
}

/** Expired records are dropped. @public */
export interface RecordSweepDue extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'sweepDue'
}

/** This node is about to stop; successors copy its records. @public */
export interface RecordsLeaveStarted extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'leaveStarted'
}

/** Successors did not copy everything in time. @public */
export interface RecordsLeaveExpired extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'leaveExpired'
}

/** No records are left for successors to copy. @public */
export interface RecordsHandOverDone extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'handOverDone'
}

/** @public */
export type IdempotencyEvent =
  | ClaimAnswered
  | ClaimAsked
  | ClaimExpired
  | ClaimRetryDue
  | CopyAnswered
  | CopyAsked
  | CopyDue
  | RecordsHandOverDone
  | RecordsLeaveExpired
  | RecordsLeaveStarted
  | RecordSweepDue
  | SettleAnswered
  | SettleAsked
  | SettleDue
