import { create, type MessageInitShape } from '@bufbuild/protobuf'
import type {
  BucketRecord, GrantRequest, GrantKey, GrantRecall, GrantReply, GrantStatement, HandOver, HandOverResult
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
  if (key === undefined) throw new BadMessageError('the grant has no key')
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
 * Encodes a request for a grant.
 *
 * @param request - the request
 * @returns the message
 * @public
 */
export function encodeGrantRequest (request: GrantRequest): AskGrantRequest {
  const { entryEpoch, entrySequence, waiting, tokens, patient, demand } = request
  return create(AskGrantRequestSchema, {
    statement: encodeStatement(request),
    entryEpoch: BigInt(entryEpoch),
    entrySequence: BigInt(entrySequence),
    waiting,
    tokens,
    patient,
    demand
  })
}

/**
 * Decodes a request for a grant.
 *
 * @param message - the message
 * @returns the request
 * @throws BadMessageError if the message is invalid
 * @public
 */
export function decodeGrantRequest (message: AskGrantRequest): GrantRequest {
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
 * Encodes an owner's reply to a request for a grant. Team, domain, holder and number are omitted, because the requester
 * knows them.
 *
 * @param reply - the reply
 * @returns the message
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
 * Decodes an owner's reply to a request for a grant.
 *
 * @param message - the message
 * @param request - the request that it answers
 * @returns the reply
 * @throws BadMessageError if the message is invalid
 * @public
 */
export function decodeGrantReply ({ offer }: AskGrantResponse, request: GrantRequest): GrantReply {
  const { team, domain, holder, number } = request
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
 * Encodes the return of a grant or of a part of it.
 *
 * @param statement - what the holder keeps and returns
 * @returns the message
 * @public
 */
export function encodeGrantReturn (statement: GrantStatement): ReturnGrantRequest {
  return create(ReturnGrantRequestSchema, { statement: encodeStatement(statement) })
}

/**
 * Decodes the return of a grant or of a part of it.
 *
 * @param message - the message
 * @returns what the holder keeps and returns
 * @throws BadMessageError if the message is invalid
 * @public
 */
export function decodeGrantReturn ({ statement }: ReturnGrantRequest): GrantStatement {
  return decodeStatement(statement)
}

/**
 * Encodes an owner's request to return the part of a grant that is not needed.
 *
 * @param recall - the recall
 * @returns the message
 * @public
 */
export function encodeGrantRecall (recall: GrantRecall): RecallGrantRequest {
  return create(RecallGrantRequestSchema, {
    key: encodeKey(recall), epoch: BigInt(recall.epoch), keepShare: recall.keepShare
  })
}

/**
 * Decodes an owner's request to return the part of a grant that is not needed.
 *
 * @param message - the message
 * @returns the recall
 * @throws BadMessageError if the message is invalid
 * @public
 */
export function decodeGrantRecall ({ key, epoch, keepShare }: RecallGrantRequest): GrantRecall {
  return { ...decodeKey(key), epoch: Number(epoch), keepShare: readFraction(keepShare) }
}

/**
 * Encodes the transfer of a partition to a new owner.
 *
 * @param handOver - the partition and its rate limit state
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
 * Decodes the transfer of a partition to a new owner.
 *
 * @param message - the message
 * @returns the partition and its rate limit state
 * @throws BadMessageError if the message is invalid
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
    openFor: readSignedMillis(message.openForMs),
    buckets: message.buckets.map(decodeBucket)
  }
}

/** Validates a duration that may be negative. */
function readSignedMillis (value: number): Millis {
  if (!Number.isFinite(value)) throw new BadMessageError(`invalid duration: ${value}`)
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

const HAND_OVER_RESULTS: Readonly<Record<HandOverResult, ResultMessage>> = {
  confirmed: ResultMessage.CONFIRMED,
  refused: ResultMessage.REFUSED,
  superseded: ResultMessage.SUPERSEDED
}

/**
 * Encodes the new owner's reply to a hand-over.
 *
 * @param result - the reply
 * @returns the enum value in the message
 * @public
 */
export function encodeHandOverResult (result: HandOverResult): ResultMessage {
  return HAND_OVER_RESULTS[result]
}

/**
 * Decodes the new owner's reply to a hand-over.
 *
 * @param message - the enum value in the message
 * @returns the reply, or undefined for a value from a later protocol version
 * @public
 */
export function decodeHandOverResult (message: ResultMessage): HandOverResult | undefined {
  return (Object.keys(HAND_OVER_RESULTS) as HandOverResult[]).find((result) => HAND_OVER_RESULTS[result] === message)
}
