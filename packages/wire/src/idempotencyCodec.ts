import { create, type MessageInitShape } from '@bufbuild/protobuf'
import type {
  ClaimKey, ClaimOutcome, ClaimReply, ClaimSettlement, CopyRecordsRequest, CopyReply, KeyClaimRequest, RunReport,
  SeatView
} from '@lavenderturn/decisions'
import { millis, toId } from '@lavenderturn/types'
import {
  type ClaimKey as KeyMessage, type ClaimKeySchema, type ClaimRequest, ClaimRequestSchema, type ClaimResponse,
  ClaimResponseSchema, ClaimResult, type CopyClaimsRequest, CopyClaimsRequestSchema, type CopyClaimsResponse,
  CopyClaimsResponseSchema, RunKind, type RunReport as RunMessage, type RunReportSchema, type SeatView as SeatMessage,
  type SeatViewSchema, type SettleRequest, SettleRequestSchema
} from './gen/lavenderturn/v1/idempotency_pb'
import { BadMessageError, readAmount } from './readNumber'

const CLAIM_RESULTS: Readonly<Record<ClaimReply['result'], ClaimResult>> = {
  recorded: ClaimResult.RECORDED,
  exists: ClaimResult.EXISTS,
  cannotTell: ClaimResult.CANNOT_TELL,
  full: ClaimResult.FULL
}

function encodeKey ({ team, digest, claimId, gateway }: ClaimKey): MessageInitShape<typeof ClaimKeySchema> {
  return { team, digest, claimId, gateway }
}

function decodeKey (key: KeyMessage | undefined): ClaimKey {
  if (key === undefined) throw new BadMessageError('the claim has no key')
  return { team: toId(key.team), digest: toId(key.digest), claimId: toId(key.claimId), gateway: toId(key.gateway) }
}

function encodeSeat ({ domain, epoch, sequence }: SeatView): MessageInitShape<typeof SeatViewSchema> {
  return { domain, epoch: BigInt(epoch), sequence: BigInt(sequence) }
}

function decodeSeat (seat: SeatMessage | undefined): SeatView {
  if (seat === undefined) throw new BadMessageError('the message has no seat')
  return { domain: toId(seat.domain), epoch: Number(seat.epoch), sequence: Number(seat.sequence) }
}

function encodeRun (run: RunReport | ClaimOutcome): MessageInitShape<typeof RunReportSchema> {
  switch (run.kind) {
    case 'pending': return { kind: RunKind.PENDING }
    case 'answered': return { kind: RunKind.ANSWERED, status: run.status }
    case 'unknown': return { kind: RunKind.UNKNOWN }
    case 'not-run': return { kind: RunKind.NOT_RUN }
  }
}

/** Decodes a kind from a later protocol version as `unknown`, because that never releases the idempotency key. */
function decodeRun (run: RunMessage | undefined): RunReport {
  if (run?.kind === RunKind.PENDING) return { kind: 'pending' }
  return run?.kind === RunKind.ANSWERED ? { kind: 'answered', status: run.status } : { kind: 'unknown' }
}

function decodeOutcome (run: RunMessage | undefined): ClaimOutcome {
  if (run?.kind === RunKind.NOT_RUN) return { kind: 'not-run' }
  return run?.kind === RunKind.ANSWERED ? { kind: 'answered', status: run.status } : { kind: 'unknown' }
}

/**
 * Encodes a request to record a claim.
 *
 * @param request - the request
 * @returns the message
 * @public
 */
export function encodeClaimRequest (request: KeyClaimRequest): ClaimRequest {
  return create(ClaimRequestSchema, {
    key: encodeKey(request), domain: request.domain, seats: request.seats.map(encodeSeat)
  })
}

/**
 * Decodes a request to record a claim.
 *
 * @param message - the message
 * @returns the request
 * @throws BadMessageError if the message is invalid
 * @public
 */
export function decodeClaimRequest ({ key, domain, seats }: ClaimRequest): KeyClaimRequest {
  return { ...decodeKey(key), domain: toId(domain), seats: seats.map(decodeSeat) }
}

/**
 * Encodes an owner's reply to a claim. The claim id and the domain are omitted, because the gateway knows them.
 *
 * @param reply - the reply
 * @returns the message
 * @public
 */
export function encodeClaimReply ({ result, seat, run }: ClaimReply): ClaimResponse {
  return create(ClaimResponseSchema, {
    result: CLAIM_RESULTS[result], seat: seat && encodeSeat(seat), run: run && encodeRun(run)
  })
}

/**
 * Decodes an owner's reply to a claim. A result from a later protocol version is decoded as `cannotTell`.
 *
 * @param message - the message
 * @param request - the request that it answers
 * @returns the reply
 * @public
 */
export function decodeClaimReply (
  { result, seat, run }: ClaimResponse,
  { claimId, domain }: KeyClaimRequest
): ClaimReply {
  const resultName = (Object.keys(CLAIM_RESULTS) as Array<ClaimReply['result']>)
    .find((name) => CLAIM_RESULTS[name] === result)
  return {
    claimId,
    domain,
    result: resultName ?? 'cannotTell',
    seat: seat && decodeSeat(seat),
    run: run && decodeRun(run)
  }
}

/**
 * Encodes the outcome of a claim.
 *
 * @param settlement - the claim and its outcome
 * @returns the message
 * @public
 */
export function encodeSettlement (settlement: ClaimSettlement): SettleRequest {
  const { domain, outcome } = settlement
  return create(SettleRequestSchema, { key: encodeKey(settlement), domain, outcome: encodeRun(outcome) })
}

/**
 * Decodes the outcome of a claim.
 *
 * @param message - the message
 * @returns the claim and its outcome
 * @throws BadMessageError if the message is invalid
 * @public
 */
export function decodeSettlement ({ key, domain, outcome }: SettleRequest): ClaimSettlement {
  return { ...decodeKey(key), domain: toId(domain), outcome: decodeOutcome(outcome) }
}

/**
 * Encodes a request for a page of idempotency records.
 *
 * @param request - the request
 * @returns the message
 * @public
 */
export function encodeCopyRecordsRequest ({ partition, source, seat, cursor }: CopyRecordsRequest): CopyClaimsRequest {
  return create(CopyClaimsRequestSchema, { partition, source, seat: encodeSeat(seat), cursor: BigInt(cursor) })
}

/**
 * Decodes a request for a page of idempotency records.
 *
 * @param message - the message
 * @returns the request
 * @throws BadMessageError if the message is invalid
 * @public
 */
export function decodeCopyRecordsRequest ({ partition, source, seat, cursor }: CopyClaimsRequest): CopyRecordsRequest {
  return { partition: toId(partition), source: toId(source), seat: decodeSeat(seat), cursor: Number(cursor) }
}

/**
 * Encodes a page of idempotency records, or the refusal to send it.
 *
 * @param reply - the page or the refusal
 * @returns the message
 * @public
 */
export function encodeCopyReply (reply: CopyReply): CopyClaimsResponse {
  if (reply.kind === 'refused') return create(CopyClaimsResponseSchema, { refused: true })
  return create(CopyClaimsResponseSchema, {
    records: reply.records.map((record) => {
      return { key: encodeKey(record), run: encodeRun(record.run), remainingMs: record.remaining }
    }),
    cursor: BigInt(reply.cursor),
    done: reply.done,
    seats: reply.seats.map(encodeSeat)
  })
}

/**
 * Decodes a page of idempotency records, or the refusal to send it.
 *
 * @param message - the message
 * @returns the page or the refusal
 * @throws BadMessageError if the message is invalid
 * @public
 */
export function decodeCopyReply (message: CopyClaimsResponse): CopyReply {
  if (message.refused) return { kind: 'refused' }
  return {
    kind: 'page',
    records: message.records.map(({ key, run, remainingMs }) => {
      return { ...decodeKey(key), run: decodeRun(run), remaining: millis(readAmount(remainingMs)) }
    }),
    cursor: Number(message.cursor),
    done: message.done,
    seats: message.seats.map(decodeSeat)
  }
}
