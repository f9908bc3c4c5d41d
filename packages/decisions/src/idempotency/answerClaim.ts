import { addMillis, type Millis, millis, type NodeId, toId } from '@lavenderturn/types'
import { assignmentKey, partitionOf, supersedes } from '../control/Assignment'
import { isFresh } from '../control/isFresh'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { KeyClaimRequest, ClaimKey, ClaimReply, ClaimSettlement, RunReport, SeatView } from './ClaimMessages'
import { MAX_RECORDS, RECORD_SWEEP_INTERVAL, RELEASED_RETENTION, RETENTION, RETENTION_MARGIN } from './claimTimes'
import type { ClaimRecord, OwnedRecords } from './IdempotencyState'

/**
 * Records a claim as the owner of the team's partition, or reports why it cannot be recorded.
 *
 * @param state - the node's state
 * @param request - the claim
 * @param effects - receives the timer of the record sweep
 * @returns the answer
 * @internal
 */
export function answerClaim (state: NodeState, request: KeyClaimRequest, effects: NodeEffect[]): ClaimReply {
  const { claimId, domain } = request
  const owned = findOwnedRecords(state, request)
  if (owned === undefined) return { claimId, domain, result: 'cannotTell' }
  const { epoch, sequence } = owned.entry
  return { claimId, domain, seat: { domain, epoch, sequence }, ...recordClaim(state, owned, request, effects) }
}

function recordClaim (
  state: NodeState,
  owned: OwnedRecords,
  request: KeyClaimRequest,
  effects: NodeEffect[]
): Pick<ClaimReply, 'result' | 'run'> {
  if (!canRecord(state, owned, request)) return { result: 'cannotTell' }
  const record = findRecord(state, owned, request)
  const isSameClaim = record?.claimId === request.claimId
  if (record?.run.kind === 'released') {
    // This is a delayed message of the released claim itself.
    if (isSameClaim) return { result: 'cannotTell' }
  } else if (record !== undefined) {
    if (isSameClaim && record.run.kind === 'pending') return { result: 'recorded' }
    return { result: 'exists', run: resolveRunReport(state, record) }
  }
  if (record === undefined && !hasCapacity(state)) return { result: 'full' }
  putRecord(state, owned, { ...request, run: { kind: 'pending' }, expiresAt: computeExpiry(state) }, effects)
  return { result: 'recorded' }
}

/**
 * Applies a settlement to the record of its claim.
 *
 * @param state - the node's state
 * @param settlement - how the claim ended
 * @param effects - receives the timer of the record sweep
 * @returns whether this node owns the partition in the domain and has handled the settlement
 * @internal
 */
export function applySettlement (state: NodeState, settlement: ClaimSettlement, effects: NodeEffect[]): boolean {
  const owned = findOwnedRecords(state, settlement)
  if (owned === undefined || owned.status === 'frozen') return false
  const record = findRecord(state, owned, settlement)
  // This owner has recorded another claim of the key, so it was not part of a majority for this one.
  if (record !== undefined && record.claimId !== settlement.claimId) return true
  const { outcome } = settlement
  if (outcome.kind === 'not-run') {
    const expiresAt = addMillis(state.now, RELEASED_RETENTION)
    putRecord(state, owned, { ...settlement, run: { kind: 'released' }, expiresAt }, effects)
  } else {
    putRecord(state, owned, { ...settlement, run: outcome, expiresAt: computeExpiry(state) }, effects)
  }
  return true
}

/**
 * @param state - the node's state
 * @param key - a team and a domain
 * @returns the records of the team's partition if this node owns it in the domain
 * @internal
 */
export function findOwnedRecords (state: NodeState, { team, domain }: Pick<KeyClaimRequest, 'team' | 'domain'>): OwnedRecords | undefined {
  const owned = state.idempotency.ownedRecords.get(assignmentKey(partitionOf(team), domain))
  if (owned?.status === 'copying' && state.now >= owned.opensAt) owned.status = 'open'
  return owned
}

function canRecord (state: NodeState, owned: OwnedRecords, { seats }: KeyClaimRequest): boolean {
  if (owned.status !== 'open' || !isFresh(state)) return false
  for (const seat of seats) {
    // The gateway knows a newer owner of this domain.
    if (seat.domain === owned.entry.domain && isNewer(seat, owned.entry)) return false
    // The gateway relies on an owner whose successor has already copied the records of this node without this claim.
    const fence = owned.fences.get(seat.domain)
    if (fence !== undefined && isNewer(fence, seat)) return false
  }
  return true
}

/**
 * @param seat - a seat
 * @param other - another seat of the same partition and domain
 * @returns whether `seat` is newer than `other`
 * @internal
 */
export function isNewer (seat: Omit<SeatView, 'domain'>, other: Omit<SeatView, 'domain'>): boolean {
  const placeholder = { partition: toId<never>(0), domain: toId<never>(''), owner: toId<NodeId>('') }
  return supersedes({ ...placeholder, epoch: seat.epoch, sequence: seat.sequence }, {
    ...placeholder, epoch: other.epoch, sequence: other.sequence
  })
}

function computeExpiry (state: NodeState): Millis {
  return addMillis(state.now, millis(RETENTION + RETENTION_MARGIN))
}

function recordKey ({ team, digest }: Pick<ClaimKey, 'team' | 'digest'>): string {
  return `${team}/${digest}`
}

/**
 * @param state - the node's state
 * @param owned - the records of a partition
 * @param key - a team and a digest
 * @returns the record, or undefined if there is none or it has expired
 * @internal
 */
export function findRecord (
  state: NodeState,
  owned: OwnedRecords,
  key: Pick<ClaimKey, 'team' | 'digest'>
): ClaimRecord | undefined {
  const record = owned.records.get(recordKey(key))
  return record !== undefined && record.expiresAt > state.now ? record : undefined
}

/**
 * Adds a record, or replaces the earlier record of the same key.
 *
 * @param state - the node's state
 * @param owned - the records of the partition
 * @param record - the record without its ordinal
 * @param effects - receives the timer of the record sweep
 * @internal
 */
export function putRecord (
  state: NodeState,
  owned: OwnedRecords,
  { team, digest, claimId, gateway, run, expiresAt }: Omit<ClaimRecord, 'ordinal'>,
  effects: NodeEffect[]
): void {
  const key = recordKey({ team, digest })
  // A changed record moves to the end of the map: records stay sorted by ordinal, and a copy includes the change.
  if (owned.records.delete(key)) state.idempotency.recordCount -= 1
  const ordinal = ++state.idempotency.lastOrdinal
  owned.records.set(key, { team, digest, claimId, gateway, run, expiresAt, ordinal })
  state.idempotency.recordCount += 1
  scheduleRecordSweep(state, effects)
}

function resolveRunReport (state: NodeState, { run, gateway }: ClaimRecord): RunReport {
  if (run.kind === 'released') return { kind: 'unknown' }
  if (run.kind !== 'pending' || gateway === state.identity.nodeId) return run
  const status = state.membership.members.get(gateway)?.status
  // The gateway can no longer report the outcome, and the request may have run.
  return status === undefined || status === 'dead' || status === 'left' ? { kind: 'unknown' } : run
}

function hasCapacity (state: NodeState): boolean {
  if (state.idempotency.recordCount < MAX_RECORDS) return true
  sweepRecords(state)
  return state.idempotency.recordCount < MAX_RECORDS
}

/**
 * Deletes expired records.
 *
 * @param state - the node's state
 * @internal
 */
export function sweepRecords (state: NodeState): void {
  for (const { records } of state.idempotency.ownedRecords.values()) {
    for (const [key, { expiresAt }] of records) {
      if (expiresAt <= state.now && records.delete(key)) state.idempotency.recordCount -= 1
    }
  }
}

/**
 * Schedules the next sweep of expired records, unless one is scheduled or there are no records.
 *
 * @param state - the node's state
 * @param effects - receives the timer of the record sweep
 * @internal
 */
export function scheduleRecordSweep (state: NodeState, effects: NodeEffect[]): void {
  if (state.idempotency.sweepScheduled || state.idempotency.recordCount === 0) return
  state.idempotency.sweepScheduled = true
  effects.push({
    slice: 'timer',
    type: 'set',
    id: toId('idempotency/sweep'),
    delay: RECORD_SWEEP_INTERVAL,
    event: { slice: 'idempotency', type: 'sweepDue' }
  })
}
