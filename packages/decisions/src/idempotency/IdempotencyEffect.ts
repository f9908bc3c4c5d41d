import type { CallId } from '@lavenderturn/types'
import type { PeerCall } from '../limits/LimitsEffect'
import type { KeyClaimRequest, ClaimReply, ClaimSettlement, CopyRecordsRequest, CopyReply } from './ClaimMessages'

/** Sends a claim to an owner; `idempotency/claimAnswered` follows unless the call fails. @public */
export interface SendClaim extends PeerCall {
  readonly slice: 'idempotency'
  readonly type: 'claim'
  readonly ask: KeyClaimRequest
}

/** Answers the call of `idempotency/claimAsked`. @public */
export interface AnswerClaim {
  readonly slice: 'idempotency'
  readonly type: 'answerClaim'
  readonly callId: CallId
  readonly reply: ClaimReply
}

/** Sends a settlement to an owner; `idempotency/settleAnswered` follows if the owner accepts it. @public */
export interface SendSettlement extends PeerCall {
  readonly slice: 'idempotency'
  readonly type: 'settle'
  readonly settlement: ClaimSettlement
}

/** Answers the call of `idempotency/settleAsked`. @public */
export interface AnswerSettle {
  readonly slice: 'idempotency'
  readonly type: 'answerSettle'
  readonly callId: CallId
  readonly accepted: boolean
}

/** Requests a page of records from an owner; `idempotency/copyAnswered` follows unless the call fails. @public */
export interface SendCopyClaims extends PeerCall {
  readonly slice: 'idempotency'
  readonly type: 'copyClaims'
  readonly ask: CopyRecordsRequest
}

/** Answers the call of `idempotency/copyAsked`. @public */
export interface AnswerCopy {
  readonly slice: 'idempotency'
  readonly type: 'answerCopy'
  readonly callId: CallId
  readonly reply: CopyReply
}

/** @public */
export type IdempotencyEffect = AnswerClaim | AnswerCopy | AnswerSettle | SendClaim | SendCopyClaims | SendSettlement
