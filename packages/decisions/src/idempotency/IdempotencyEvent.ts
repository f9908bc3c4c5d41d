import type { CallId, DomainId, RequestId } from '@lavenderturn/types'
import type { EventBase } from '../NodeEvent'
import type { KeyClaimRequest, ClaimReply, ClaimSettlement, CopyRecordsRequest, CopyReply } from './ClaimMessages'

/** A claim has timed out without a majority. @public */
export interface ClaimExpired extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'claimExpired'
  readonly requestId: RequestId
}

/** It is time to send a claim again to the owners that have not recorded it. @public */
export interface ClaimRetryDue extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'claimRetryDue'
  readonly requestId: RequestId
}

/** A gateway called to claim a key; `idempotency/answerClaim` answers the call. @public */
export interface ClaimAsked extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'claimAsked'
  readonly callId: CallId
  readonly ask: KeyClaimRequest
}

/** An owner answered a claim. @public */
export interface ClaimAnswered extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'claimAnswered'
  readonly reply: ClaimReply
}

/** A gateway called to settle a claim; `idempotency/answerSettle` answers the call. @public */
export interface SettleAsked extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'settleAsked'
  readonly callId: CallId
  readonly settlement: ClaimSettlement
}

/** An owner accepted a settlement. @public */
export interface SettleAnswered extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'settleAnswered'
  readonly requestId: RequestId
  readonly domain: DomainId
}

/** It is time to send a settlement again to the owners that have not confirmed it. @public */
export interface SettleDue extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'settleDue'
  readonly requestId: RequestId
}

/** A new owner called for a page of records; `idempotency/answerCopy` answers the call. @public */
export interface CopyAsked extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'copyAsked'
  readonly callId: CallId
  readonly ask: CopyRecordsRequest
}

/** An owner answered with a page of records. @public */
export interface CopyAnswered extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'copyAnswered'
  readonly ask: CopyRecordsRequest
  readonly reply: CopyReply
}

/** It is time to retry a copy that has not finished. @public */
export interface CopyDue extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'copyDue'
  readonly key: string
}

/** It is time to delete expired records. @public */
export interface RecordSweepDue extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'sweepDue'
}

/** This node is stopping, so its successors must copy its records. @public */
export interface RecordsLeaveStarted extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'leaveStarted'
}

/** The time for successors to copy the records has passed. @public */
export interface RecordsLeaveExpired extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'leaveExpired'
}

/** No records remain to hand over, or the time for it has passed. @public */
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
