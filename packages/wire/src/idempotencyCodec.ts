import { create, type MessageInitShape } from '@bufbuild/protobuf'
import type {
  ClaimAsk, ClaimKey, ClaimOutcome, ClaimReply, ClaimSettlement, CopyAsk, CopyReply, RunReport, SeatView
} from '@lavenderturn/decisions'
import { millis, toId } from '@lavenderturn/types'
import {
  type ClaimKey as KeyMessage, type ClaimKeySchema, type ClaimRequest, ClaimRequestSchema, type ClaimResponse,
  ClaimResponseSchema, ClaimResult, type CopyClaimsRequest, CopyClaimsRequestSchema, type CopyClaimsResponse,
  CopyClaimsResponseSchema, RunKind, type RunReport as RunMessage, type RunReportSchema, type SeatView as SeatMessage,
  type SeatViewSchema, type SettleRequest, SettleRequestSchema
} from './gen/lavenderturn/v1/idempotency_pb'
import { BadMessageError, readAmount } from './readNumber'

const results: Readonly<Record<ClaimReply['result'], ClaimResult>> = {
  recorded: ClaimResult.RECORDED,
  exists: ClaimResult.EXISTS,
  cannotTell: ClaimResult.CANNOT_TELL,
  full: ClaimResult.FULL
}

function encodeKey ({ team, digest, claimId, gateway }: ClaimKey): MessageInitShape<typeof ClaimKeySchema> {
  return { team, digest, claimId, gateway }
}

function decodeKey (key: KeyMessage | undefined): ClaimKey {
  if (key === undefined) throw new BadMessageError('a claim without a key')
  return { team: toId(key.team), digest: toId(key.digest), claimId: toId(key.claimId), gateway: toId(key.gateway) }
}

function encodeSeat ({ domain, epoch, sequence }: SeatView): MessageInitShape<typeof SeatViewSchema> {
  return { domain, epoch: BigInt(epoch), sequence: BigInt(sequence) }
}

function decodeSeat (seat: SeatMessage | undefined): SeatView {
  if (seat === undefined) throw new BadMessageError('a message without a seat')
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

/** A kind of a later version is read as unknown, which never frees a key. */
function decodeRun (run: RunMessage | undefined): RunReport {
  if (run?.kind === RunKind.PENDING) return { kind: 'pending' }
  return run?.kind === RunKind.ANSWERED ? { kind: 'answered', status: run.status } : { kind: 'unknown' }
}

function decodeOutcome (run: RunMessage | undefined): ClaimOutcome {
  if (run?.kind === RunKind.NOT_RUN) return { kind: 'not-run' }
  return run?.kind === RunKind.ANSWERED ? { kind: 'answered', status: run.status } : { kind: 'unknown' }
}

/**
 * @param ask - a claim
 * @returns the message
 * @public
 */
export function encodeClaim (ask: ClaimAsk): ClaimRequest {
  return create(ClaimRequestSchema, { key: encodeKey(ask), domain: ask.domain, seats: ask.seats.map(encodeSeat) })
}

/**
 * @param message - the message
 * @returns the claim
 * @throws BadMessageError when it cannot be one
 * @public
 */
export function decodeClaim ({ key, domain, seats }: ClaimRequest): ClaimAsk {
  return { ...decodeKey(key), domain: toId(domain), seats: seats.map(decodeSeat) }
}

/**
 * @param reply - an owner's answer
 * @returns the message; the gateway knows claim and domain
 * @public
 */
export function encodeClaimReply ({ result, seat, run }: ClaimReply): ClaimResponse {
  return create(ClaimResponseSchema, {
    result: results[result], seat: seat && encodeSeat(seat), run: run && encodeRun(run)
  })
}

/**
 * @param message - the message
 * @param ask - the claim that it answers
 * @returns the owner's answer; a result of a later version is read as "cannot tell"
 * @public
 */
export function decodeClaimReply ({ result, seat, run }: ClaimResponse, { claimId, domain }: ClaimAsk): ClaimReply {
  const known = (Object.keys(results) as Array<ClaimReply['result']>).find((name) => results[name] === result)
  return {
    claimId,
    domain,
    result: known ?? 'cannotTell',
    seat: seat && decodeSeat(seat),
    run: run && decodeRun(run)
  }
}

/**
 * @param settlement - the end of a claim
 * @returns the message
 * @public
 */
export function encodeSettlement (settlement: ClaimSettlement): SettleRequest {
  const { domain, outcome } = settlement
  return create(SettleRequestSchema, { key: encodeKey(settlement), domain, outcome: encodeRun(outcome) })
}

/**
 * @param message - the message
 * @returns the end of a claim
 * @throws BadMessageError when it cannot be one
 * @public
 */
export function decodeSettlement ({ key, domain, outcome }: SettleRequest): ClaimSettlement {
  return { ...decodeKey(key), domain: toId(domain), outcome: decodeOutcome(outcome) }
}

/**
 * @param ask - an ask for records
 * @returns the message
 * @public
 */
export function encodeCopyAsk ({ partition, source, seat, cursor }: CopyAsk): CopyClaimsRequest {
  return create(CopyClaimsRequestSchema, { partition, source, seat: encodeSeat(seat), cursor: BigInt(cursor) })
}

/**
 * @param message - the message
 * @returns the ask for records
 * @throws BadMessageError when it cannot be one
 * @public
 */
export function decodeCopyAsk ({ partition, source, seat, cursor }: CopyClaimsRequest): CopyAsk {
  return { partition: toId(partition), source: toId(source), seat: decodeSeat(seat), cursor: Number(cursor) }
}

/**
 * @param reply - a page of records
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
 * @param message - the message
 * @returns the page of records
 * @throws BadMessageError when it cannot be one
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
