import { addMillis, type DomainId, millis, toId } from '@lavenderturn/types'
import { type AssignmentEntry, assignmentKey, findOwner, listDomains } from '../control/Assignment'
import { isFresh } from '../control/isFresh'
import { findControlAddress } from '../limits/findControlAddress'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { raise } from '../raise'
import { findRecord, isNewer, putRecord } from './answerClaim'
import { majoritySize } from './claimKey'
import type { CopyRecordsRequest, CopyReply, RecordCopy, RunReport, SeatView } from './ClaimMessages'
import { COPY_PAGE_SIZE, COPY_RETRY_INTERVAL, MAX_PREDECESSOR_ATTEMPTS } from './claimTimes'
import type { CopyAnswered } from './IdempotencyEvent'
import type { ClaimRecord, CopySource, OwnedRecords } from './IdempotencyState'

/**
 * Requests the records that a new owner lacks: from its predecessor after a planned hand-over, and otherwise from the
 * owners in the other domains.
 *
 * @param state - the node's state
 * @param owned - a partition that is not open yet
 * @returns effects: the calls, and the timer of the next attempt
 * @internal
 */
export function copyRecords (state: NodeState, owned: OwnedRecords): NodeEffect[] {
  const { partition, domain } = owned.entry
  const key = assignmentKey(partition, domain)
  const effects: NodeEffect[] = [{
    slice: 'timer',
    type: 'set',
    id: toId(`copy/${key}`),
    delay: COPY_RETRY_INTERVAL,
    event: { slice: 'idempotency', type: 'copyDue', key }
  }]
  if (owned.predecessor !== undefined && owned.predecessorFailures++ < MAX_PREDECESSOR_ATTEMPTS) {
    return [...effects, ...requestPage(state, owned, domain)]
  }
  owned.predecessor = undefined
  owned.sources.delete(domain)
  for (const other of listDomains(state)) {
    if (other !== domain) effects.push(...requestPage(state, owned, other))
  }
  return effects
}

function requestPage (state: NodeState, owned: OwnedRecords, domain: DomainId): NodeEffect[] {
  const entry = findSourceEntry(state, owned, domain)
  if (entry === undefined) return []
  let source = owned.sources.get(domain)
  if (source === undefined || source.entry.owner !== entry.owner || isNewer(entry, source.entry)) {
    source = { entry, cursor: 0, done: false }
    owned.sources.set(domain, source)
  }
  if (source.done) return []
  const ask: CopyRecordsRequest = {
    partition: owned.entry.partition, source: domain, seat: toSeatView(owned.entry), cursor: source.cursor
  }
  if (entry.owner === state.identity.nodeId) return handleCopyReply(state, { ask, reply: answerCopy(state, ask) })
  const address = findControlAddress(state, entry.owner)
  if (address === undefined) return []
  return [{ slice: 'idempotency', type: 'copyClaims', node: entry.owner, address, ask }]
}

function findSourceEntry (state: NodeState, owned: OwnedRecords, domain: DomainId): AssignmentEntry | undefined {
  if (domain !== owned.entry.domain) return findOwner(state, owned.entry.partition, domain)
  return { ...owned.entry, owner: owned.predecessor!, sequence: 0 }
}

function toSeatView ({ domain, epoch, sequence }: AssignmentEntry): SeatView {
  return { domain, epoch, sequence }
}

/**
 * Returns a page of records to another owner. From then on this owner refuses claims that list an older seat of the
 * other owner's domain, because such a claim could reach a majority and still be missing from the copy. If the seat is
 * in this node's own domain, the other node is its successor, and this node records no more claims.
 *
 * @param state - the node's state
 * @param request - the request for a page
 * @returns the page
 * @internal
 */
export function answerCopy (state: NodeState, { partition, source, seat, cursor }: CopyRecordsRequest): CopyReply {
  const owned = state.idempotency.ownedRecords.get(assignmentKey(partition, source))
  if (owned === undefined || owned.status === 'copying') return { kind: 'refused' }
  if (seat.domain === source) {
    if (!isNewer(seat, owned.entry)) return { kind: 'refused' }
    owned.status = 'frozen'
  } else {
    if (owned.status !== 'open' || !isFresh(state)) return { kind: 'refused' }
    advanceFence(owned, seat)
  }
  return readPage(state, owned, cursor)
}

function advanceFence ({ fences }: OwnedRecords, seat: SeatView): void {
  const known = fences.get(seat.domain)
  if (known === undefined || isNewer(seat, known)) fences.set(seat.domain, seat)
}

function readPage (state: NodeState, owned: OwnedRecords, cursor: number): CopyReply {
  const records: RecordCopy[] = []
  let lastOrdinal = cursor
  let hasMore = false
  for (const record of owned.records.values()) {
    if (record.ordinal <= cursor || record.expiresAt <= state.now || record.run.kind === 'released') continue
    hasMore = true
    if (records.length === COPY_PAGE_SIZE) break
    records.push(toRecordCopy(state, record, record.run))
    lastOrdinal = record.ordinal
  }
  return { kind: 'page', records, cursor: lastOrdinal, done: !hasMore, seats: [...owned.fences.values(), toSeatView(owned.entry)] }
}

function toRecordCopy (state: NodeState, record: ClaimRecord, run: RunReport): RecordCopy {
  const { team, digest, claimId, gateway, expiresAt } = record
  return { team, digest, claimId: claimId ?? toId(''), gateway, run, remaining: millis(expiresAt - state.now) }
}

/**
 * Merges a page of records, and opens the partition once no record can be missing.
 *
 * @param state - the node's state
 * @param event - the request and the reply with the page
 * @returns effects: the request for the next page, if any
 * @internal
 */
export function handleCopyReply (state: NodeState, { ask, reply }: Pick<CopyAnswered, 'ask' | 'reply'>): NodeEffect[] {
  const owned = state.idempotency.ownedRecords.get(assignmentKey(ask.partition, ask.seat.domain))
  const source = owned?.sources.get(ask.source)
  if (owned?.status !== 'copying' || source === undefined || reply.kind === 'refused') return []
  // The page belongs to an earlier attempt, or to an earlier seat of this node.
  if (source.cursor !== ask.cursor || isNewer(owned.entry, ask.seat)) return []
  const effects: NodeEffect[] = []
  for (const copy of reply.records) mergeRecord(state, owned, copy, effects)
  for (const seat of reply.seats) if (seat.domain !== owned.entry.domain) advanceFence(owned, seat)
  source.cursor = reply.cursor
  source.done = reply.done
  if (ask.source === owned.entry.domain) owned.predecessorFailures = 0
  if (!reply.done) return [...effects, ...requestPage(state, owned, ask.source)]
  if (isComplete(state, owned)) effects.push(...completeCopy(owned))
  return effects
}

/**
 * Whether no record can be missing. A request runs only after a majority of the owners has recorded its claim, and the
 * earlier owner of this seat's domain may have been one of them. The copy is therefore complete when it covers so many
 * other owners that each majority includes at least one of them.
 */
function isComplete (state: NodeState, { entry, sources, fences }: OwnedRecords): boolean {
  let copied = 0
  for (const [domain, source] of sources) {
    if (!source.done) continue
    if (domain === entry.domain) return true
    if (isCurrentSource(source, fences.get(domain))) copied += 1
  }
  const count = listDomains(state).length
  return copied >= count - majoritySize(count) + 1
}

/** A source that has been replaced does not count, because it can lack records of its successor. */
function isCurrentSource ({ entry }: CopySource, fence: SeatView | undefined): boolean {
  return fence === undefined || !isNewer(fence, entry)
}

function completeCopy (owned: OwnedRecords): NodeEffect[] {
  const { partition, domain } = owned.entry
  owned.status = 'open'
  owned.predecessor = undefined
  owned.sources.clear()
  return [
    { slice: 'timer', type: 'clear', id: toId(`copy/${assignmentKey(partition, domain)}`) },
    { slice: 'log', type: 'stateChanged', message: 'idempotency records copied', fields: { partition, domain } }
  ]
}

function mergeRecord (state: NodeState, owned: OwnedRecords, copy: RecordCopy, effects: NodeEffect[]): void {
  const known = findRecord(state, owned, copy)
  const expiresAt = addMillis(state.now, copy.remaining)
  const claimId = copy.claimId === '' ? undefined : copy.claimId
  if (known === undefined || known.run.kind === 'released') {
    putRecord(state, owned, { ...copy, claimId, expiresAt }, effects)
  } else if (known.claimId === claimId) {
    if (known.run.kind === 'pending' && copy.run.kind !== 'pending') {
      putRecord(state, owned, { ...copy, claimId, expiresAt }, effects)
    }
  } else if (copy.run.kind === 'answered') {
    putRecord(state, owned, { ...copy, claimId, expiresAt }, effects)
  } else if (known.run.kind !== 'answered') {
    // Either of the two claims may have run, so releasing the other one must not make the key available.
    putRecord(state, owned, { ...known, claimId: undefined, run: { kind: 'unknown' } }, effects)
  }
}

/**
 * Deletes the records that a successor has copied, once it has confirmed the last page.
 *
 * @param state - the node's state
 * @param request - the successor's request
 * @param reply - the answer to it
 * @returns effects: `idempotency/handOverDone` if the node is leaving and has no records left
 * @internal
 */
export function dropHandedOverRecords (state: NodeState, request: CopyRecordsRequest, reply: CopyReply): NodeEffect[] {
  if (request.seat.domain !== request.source || reply.kind === 'refused' || !reply.done) return []
  return dropRecords(state, assignmentKey(request.partition, request.source))
}

/**
 * Deletes the records of a partition.
 *
 * @param state - the node's state
 * @param key - `assignmentKey` of the partition
 * @returns effects: `idempotency/handOverDone` if the node is leaving and has no records left
 * @internal
 */
export function dropRecords (state: NodeState, key: string): NodeEffect[] {
  const { idempotency } = state
  idempotency.recordCount -= idempotency.ownedRecords.get(key)?.records.size ?? 0
  idempotency.ownedRecords.delete(key)
  if (!idempotency.leaving || idempotency.ownedRecords.size > 0) return []
  return [raise({ slice: 'idempotency', type: 'handOverDone' })]
}
