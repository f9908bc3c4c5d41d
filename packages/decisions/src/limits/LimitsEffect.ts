import type { Address, CallId, NodeId } from '@lavenderturn/types'
import type { GrantRequest, GrantRecall, GrantReply, GrantStatement, HandOver, HandOverResult } from './GrantMessages'

/** A call to another node. @public */
export interface PeerCall {
  readonly node: NodeId
  /** Control address. */
  readonly address: Address
}

/** Sends a grant request to an owner; `limits/askAnswered` or `limits/askFailed` follows. @public */
export interface AskGrant extends PeerCall {
  readonly slice: 'limits'
  readonly type: 'askGrant'
  readonly ask: GrantRequest
}

/** Answers the call of `limits/grantAsked`. @public */
export interface AnswerAsk {
  readonly slice: 'limits'
  readonly type: 'answerAsk'
  readonly callId: CallId
  readonly reply: GrantReply
}

/**
 * Returns all or part of a grant. If the message is lost, the next statement or the expiry of the grant makes up for
 * it.
 *
 * @public
 */
export interface ReturnGrant extends PeerCall {
  readonly slice: 'limits'
  readonly type: 'returnGrant'
  readonly statement: GrantStatement
}

/** Asks a holder to return what it does not need. @public */
export interface RecallGrant extends PeerCall {
  readonly slice: 'limits'
  readonly type: 'recallGrant'
  readonly recall: GrantRecall
}

/** Offers a partition to a successor; `limits/handOverAnswered` follows. @public */
export interface OfferHandOver extends PeerCall {
  readonly slice: 'limits'
  readonly type: 'offerHandOver'
  readonly handOver: HandOver
}

/** Answers the call of `limits/handOverOffered`. @public */
export interface AnswerHandOver {
  readonly slice: 'limits'
  readonly type: 'answerHandOver'
  readonly callId: CallId
  readonly result: HandOverResult
}

/** @public */
export type LimitsEffect = AnswerAsk | AnswerHandOver | AskGrant | OfferHandOver | RecallGrant | ReturnGrant
