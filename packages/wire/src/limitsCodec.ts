import { create, type MessageInitShape } from '@bufbuild/protobuf'
import type {
  BucketRecord, GrantAsk, GrantKey, GrantRecall, GrantReply, GrantStatement, HandOver, HandOverResult
} from '@lavenderturn/decisions'
import { type Millis, millis, toId } from '@lavenderturn/types'
import {
  type AskGrantRequest, AskGrantRequestSchema, type AskGrantResponse, AskGrantResponseSchema,
  type BucketRecord as BucketMessage, type BucketRecordSchema, type GrantKey as KeyMessage,
  type GrantKeySchema, type GrantStatement as StatementMessage, type GrantStatementSchema, type HandOverRequest,
  HandOverRequestSchema, HandOverResult as ResultMessage, type RecallGrantRequest, RecallGrantRequestSchema,
  type ReturnGrantRequest, ReturnGrantRequestSchema
} from './gen/lavenderturn/v1/limits_pb'
import { BadMessageError, readAmount, readFraction } from './readNumber'

function encodeKey ({ team, domain, holder }: GrantKey): MessageInitShape<typeof GrantKeySchema> {
  return { team, domain, holder }
}

function decodeKey (key: KeyMessage | undefined): GrantKey {
  if (key === undefined) throw new BadMessageError('a grant without a key')
  return { team: toId(key.team), domain: toId(key.domain), holder: toId(key.holder) }
}

function encodeStatement (statement: GrantStatement): MessageInitShape<typeof GrantStatementSchema> {
  const { number, epoch, share, room, level, returned } = statement
  return { key: encodeKey(statement), number: BigInt(number), epoch: BigInt(epoch), share, room, level, returned }
}

function decodeStatement (message: StatementMessage | undefined): GrantStatement {
  return {
    ...decodeKey(message?.key),
    number: Number(message!.number),
    epoch: Number(message!.epoch),
    share: readFraction(message!.share),
    room: readFraction(message!.room),
    level: readAmount(message!.level),
    returned: readAmount(message!.returned)
  }
}

/**
 * @param ask - an ask for a grant
 * @returns the message
 * @public
 */
export function encodeGrantAsk (ask: GrantAsk): AskGrantRequest {
  const { entryEpoch, entrySequence, waiting, tokens, patient, demand } = ask
  return create(AskGrantRequestSchema, {
    statement: encodeStatement(ask),
    entryEpoch: BigInt(entryEpoch),
    entrySequence: BigInt(entrySequence),
    waiting,
    tokens,
    patient,
    demand
  })
}

/**
 * @param message - the message
 * @returns the ask
 * @throws BadMessageError when it cannot be one
 * @public
 */
export function decodeGrantAsk (message: AskGrantRequest): GrantAsk {
  return {
    ...decodeStatement(message.statement),
    entryEpoch: Number(message.entryEpoch),
    entrySequence: Number(message.entrySequence),
    waiting: readAmount(message.waiting),
    tokens: readAmount(message.tokens),
    patient: message.patient,
    demand: readAmount(message.demand)
  }
}

/**
 * @param reply - an owner's answer
 * @returns the message; the asker knows team, domain and number
 * @public
 */
export function encodeGrantReply (reply: GrantReply): AskGrantResponse {
  if (reply.kind === 'denied') return create(AskGrantResponseSchema, {})
  const { epoch, continued, share, room, tokens, rate, burst, lifetime, tight, keepShare, fixed } = reply
  return create(AskGrantResponseSchema, {
    offer: {
      epoch: BigInt(epoch), continued, share, room, tokens, rate, burst, lifetimeMs: lifetime, tight, keepShare, fixed
    }
  })
}

/**
 * @param message - the message
 * @param ask - the ask that it answers
 * @returns the owner's answer
 * @throws BadMessageError when it cannot be one
 * @public
 */
export function decodeGrantReply ({ offer }: AskGrantResponse, ask: GrantAsk): GrantReply {
  const { team, domain, holder, number } = ask
  if (offer === undefined) return { kind: 'denied', team, domain, holder, number }
  return {
    kind: 'granted',
    team,
    domain,
    holder,
    number,
    epoch: Number(offer.epoch),
    continued: offer.continued,
    share: readFraction(offer.share),
    room: readFraction(offer.room),
    tokens: readAmount(offer.tokens),
    rate: readAmount(offer.rate),
    burst: readAmount(offer.burst),
    lifetime: millis(offer.lifetimeMs),
    tight: offer.tight,
    keepShare: readFraction(offer.keepShare),
    fixed: offer.fixed
  }
}

/**
 * @param statement - a return
 * @returns the message
 * @public
 */
export function encodeGrantReturn (statement: GrantStatement): ReturnGrantRequest {
  return create(ReturnGrantRequestSchema, { statement: encodeStatement(statement) })
}

/**
 * @param message - the message
 * @returns the return
 * @throws BadMessageError when it cannot be one
 * @public
 */
export function decodeGrantReturn ({ statement }: ReturnGrantRequest): GrantStatement {
  return decodeStatement(statement)
}

/**
 * @param recall - a recall
 * @returns the message
 * @public
 */
export function encodeGrantRecall (recall: GrantRecall): RecallGrantRequest {
  return create(RecallGrantRequestSchema, {
    key: encodeKey(recall), epoch: BigInt(recall.epoch), keepShare: recall.keepShare
  })
}

/**
 * @param message - the message
 * @returns the recall
 * @throws BadMessageError when it cannot be one
 * @public
 */
export function decodeGrantRecall ({ key, epoch, keepShare }: RecallGrantRequest): GrantRecall {
  return { ...decodeKey(key), epoch: Number(epoch), keepShare: readFraction(keepShare) }
}

/**
 * @param handOver - a hand-over
 * @returns the message
 * @public
 */
export function encodeHandOver ({ from, entry, openFor, buckets }: HandOver): HandOverRequest {
  return create(HandOverRequestSchema, {
    from,
    partition: entry.partition,
    domain: entry.domain,
    owner: entry.owner,
    epoch: BigInt(entry.epoch),
    sequence: BigInt(entry.sequence),
    openForMs: openFor,
    buckets: buckets.map(encodeBucket)
  })
}

function encodeBucket ({ grants, ...rest }: BucketRecord): MessageInitShape<typeof BucketRecordSchema> {
  return {
    ...rest,
    grants: grants.map(({ holder, share, room, number, demand, remaining }) => {
      return { holder, share, room, number: BigInt(number), demand, remainingMs: remaining }
    })
  }
}

/**
 * @param message - the message
 * @returns the hand-over
 * @throws BadMessageError when it cannot be one
 * @public
 */
export function decodeHandOver (message: HandOverRequest): HandOver {
  return {
    from: toId(message.from),
    entry: {
      partition: toId(message.partition),
      domain: toId(message.domain),
      owner: toId(message.owner),
      epoch: Number(message.epoch),
      sequence: Number(message.sequence)
    },
    openFor: readFinite(message.openForMs),
    buckets: message.buckets.map(decodeBucket)
  }
}

function readFinite (value: number): Millis {
  if (!Number.isFinite(value)) throw new BadMessageError(`not a time: ${value}`)
  return millis(value)
}

function decodeBucket ({ team, rate, burst, share, room, level, grants }: BucketMessage): BucketRecord {
  return {
    team: toId(team),
    rate: readAmount(rate),
    burst: readAmount(burst),
    share: readFraction(share),
    room: readFraction(room),
    level: readAmount(level),
    grants: grants.map((grant) => ({
      holder: toId(grant.holder),
      share: readFraction(grant.share),
      room: readFraction(grant.room),
      number: Number(grant.number),
      demand: readAmount(grant.demand),
      remaining: millis(readAmount(grant.remainingMs))
    }))
  }
}

const results: Readonly<Record<HandOverResult, ResultMessage>> = {
  confirmed: ResultMessage.CONFIRMED,
  refused: ResultMessage.REFUSED,
  superseded: ResultMessage.SUPERSEDED
}

/**
 * @param result - a successor's answer
 * @returns the number in the message
 * @public
 */
export function encodeHandOverResult (result: HandOverResult): ResultMessage {
  return results[result]
}

/**
 * @param message - the number in the message
 * @returns the successor's answer, or undefined for a number of a later version
 * @public
 */
export function decodeHandOverResult (message: ResultMessage): HandOverResult | undefined {
  return (Object.keys(results) as HandOverResult[]).find((result) => results[result] === message)
}
