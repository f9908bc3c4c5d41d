import { addMillis, type DomainId, millis, toId } from '@lavenderturn/types'
import { type AssignmentEntry, assignmentKey, findOwner, listDomains } from '../control/Assignment'
import { isFresh } from '../control/isFresh'
import { findAddress } from '../limits/findAddress'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { raise } from '../raise'
import { findRecord, isNewer, putRecord } from './answerClaim'
import { majorityOf } from './claimKey'
import type { CopyAsk, CopyReply, RecordCopy, RunReport, SeatView } from './ClaimMessages'
import { COPY_PAGE, COPY_RETRY, PREDECESSOR_TRIES } from './claimTimes'
import type { CopyAnswered } from './IdempotencyEvent'
import type { ClaimRecord, CopySource, OwnedRecords } from './IdempotencyState'

/**
 * Asks for the records that a new owner lacks: from the predecessor of a planned hand-over, or otherwise from the
 * owners in the other domains.
 *
 * @param state - the node's state
 * @param owned - a partition that is not open yet
 * @returns effects: the calls, and the timer of the next try
 * @internal
 */
export function copyRecords (state: NodeState, owned: OwnedRecords): NodeEffect[] {
  const { partition, domain } = owned.entry
  const key = assignmentKey(partition, domain)
  const effects: NodeEffect[] = [{
    slice: 'timer',
    type: 'set',
    id: toId(`copy/${key}`),
    delay: COPY_RETRY,
    event: { slice: 'idempotency', type: 'copyDue', key }
  }]
  if (owned.predecessor !== undefined && owned.predecessorFailures++ < PREDECESSOR_TRIES) {
    return [...effects, ...askSource(state, owned, domain)]
  }
  owned.predecessor = undefined
  owned.sources.delete(domain)
  for (const other of listDomains(state)) {
    if (other !== domain) effects.push(...askSource(state, owned, other))
  }
  return effects
}

function askSource (state: NodeState, owned: OwnedRecords, domain: DomainId): NodeEffect[] {
  const entry = findSourceEntry(state, owned, domain)
  if (entry === undefined) return []
  let source = owned.sources.get(domain)
  if (source === undefined || source.entry.owner !== entry.owner || isNewer(entry, source.entry)) {
    source = { entry, cursor: 0, done: false }
    owned.sources.set(domain, source)
  }
  if (source.done) return []
  const ask: CopyAsk = {
    partition: owned.entry.partition, source: domain, seat: seatOf(owned.entry), cursor: source.cursor
  }
  if (entry.owner === state.identity.nodeId) return acceptCopy(state, { ask, reply: answerCopy(state, ask) })
  const address = findAddress(state, entry.owner)
  if (address === undefined) return []
  return [{ slice: 'idempotency', type: 'copyClaims', node: entry.owner, address, ask }]
}

function findSourceEntry (state: NodeState, owned: OwnedRecords, domain: DomainId): AssignmentEntry | undefined {
  if (domain !== owned.entry.domain) return findOwner(state, owned.entry.partition, domain)
  return { ...owned.entry, owner: owned.predecessor!, sequence: 0 }
}

function seatOf ({ domain, epoch, sequence }: AssignmentEntry): SeatView {
  return { domain, epoch, sequence }
}

/**
 * Gives a page of records to another owner. From then on this owner refuses claims that count on the seat's earlier
 * owner: such a claim could get its majority and yet be missing in the copy. If the seat is this node's own, the other
 * node is its successor, and this one records nothing more.
 *
 * @param state - the node's state
 * @param ask - what is asked for
 * @returns the page
 * @internal
 */
export function answerCopy (state: NodeState, { partition, source, seat, cursor }: CopyAsk): CopyReply {
  const owned = state.idempotency.owned.get(assignmentKey(partition, source))
  if (owned === undefined || owned.status === 'copying') return { kind: 'refused' }
  if (seat.domain === source) {
    if (!isNewer(seat, owned.entry)) return { kind: 'refused' }
    owned.status = 'frozen'
  } else {
    if (owned.status !== 'open' || !isFresh(state)) return { kind: 'refused' }
    raiseFence(owned, seat)
  }
  return readPage(state, owned, cursor)
}

function raiseFence ({ fences }: OwnedRecords, seat: SeatView): void {
  const known = fences.get(seat.domain)
  if (known === undefined || isNewer(seat, known)) fences.set(seat.domain, seat)
}

function readPage (state: NodeState, owned: OwnedRecords, cursor: number): CopyReply {
  const records: RecordCopy[] = []
  let last = cursor
  let more = false
  for (const record of owned.records.values()) {
    if (record.order <= cursor || record.expiresAt <= state.now || record.run.kind === 'released') continue
    more = true
    if (records.length === COPY_PAGE) break
    records.push(describeRecord(state, record, record.run))
    last = record.order
  }
  return { kind: 'page', records, cursor: last, done: !more, seats: [...owned.fences.values(), seatOf(owned.entry)] }
}

function describeRecord (state: NodeState, record: ClaimRecord, run: RunReport): RecordCopy {
  const { team, digest, claimId, gateway, expiresAt } = record
  return { team, digest, claimId: claimId ?? toId(''), gateway, run, remaining: millis(expiresAt - state.now) }
}

/**
 * Takes a page of records into the books, and opens the partition once nothing can be missing.
 *
 * @param state - the node's state
 * @param event - the page
 * @returns effects: the ask for the next page
 * @internal
 */
export function acceptCopy (state: NodeState, { ask, reply }: Pick<CopyAnswered, 'ask' | 'reply'>): NodeEffect[] {
  const owned = state.idempotency.owned.get(assignmentKey(ask.partition, ask.seat.domain))
  const source = owned?.sources.get(ask.source)
  if (owned?.status !== 'copying' || source === undefined || reply.kind === 'refused') return []
  // The page belongs to an earlier try, or to an earlier seat of this node.
  if (source.cursor !== ask.cursor || isNewer(owned.entry, ask.seat)) return []
  const effects: NodeEffect[] = []
  for (const copy of reply.records) mergeRecord(state, owned, copy, effects)
  for (const seat of reply.seats) if (seat.domain !== owned.entry.domain) raiseFence(owned, seat)
  source.cursor = reply.cursor
  source.done = reply.done
  if (ask.source === owned.entry.domain) owned.predecessorFailures = 0
  if (!reply.done) return [...effects, ...askSource(state, owned, ask.source)]
  if (isComplete(state, owned)) effects.push(...openRecords(owned))
  return effects
}

/**
 * A claim that ran was recorded by a majority, and this seat may have been one of it. So it is enough to have copied
 * from so many other owners that every majority without this seat has one of them.
 */
function isComplete (state: NodeState, { entry, sources, fences }: OwnedRecords): boolean {
  let copied = 0
  for (const [domain, source] of sources) {
    if (!source.done) continue
    if (domain === entry.domain) return true
    if (isCurrent(source, fences.get(domain))) copied += 1
  }
  const count = listDomains(state).length
  return copied >= count - majorityOf(count) + 1
}

/** An owner that has been replaced can lack records of its successor. */
function isCurrent ({ entry }: CopySource, fence: SeatView | undefined): boolean {
  return fence === undefined || !isNewer(fence, entry)
}

function openRecords (owned: OwnedRecords): NodeEffect[] {
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
    // One of the two claims may have run, so the release of the other one must not free the key.
    putRecord(state, owned, { ...known, claimId: undefined, run: { kind: 'unknown' } }, effects)
  }
}

/**
 * Forgets records that a successor has, once it has confirmed the last page.
 *
 * @param state - the node's state
 * @param ask - the successor's ask
 * @param reply - the answer to it
 * @returns effects: `idempotency/handOverDone` when nothing is left at a node that leaves
 * @internal
 */
export function forgetHandedOver (state: NodeState, ask: CopyAsk, reply: CopyReply): NodeEffect[] {
  if (ask.seat.domain !== ask.source || reply.kind === 'refused' || !reply.done) return []
  return dropRecords(state, assignmentKey(ask.partition, ask.source))
}

/**
 * Forgets the records of a partition.
 *
 * @param state - the node's state
 * @param key - `assignmentKey` of the partition
 * @returns effects: `idempotency/handOverDone` when nothing is left at a node that leaves
 * @internal
 */
export function dropRecords (state: NodeState, key: string): NodeEffect[] {
  const { idempotency } = state
  idempotency.recordCount -= idempotency.owned.get(key)?.records.size ?? 0
  idempotency.owned.delete(key)
  if (!idempotency.leaving || idempotency.owned.size > 0) return []
  return [raise({ slice: 'idempotency', type: 'handOverDone' })]
}
