import { addMillis, type Millis, millis, type NodeId, toId } from '@lavenderturn/types'
import { assignmentKey, partitionOf, supersedes } from '../control/Assignment'
import { isFresh } from '../control/isFresh'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { ClaimAsk, ClaimKey, ClaimReply, ClaimSettlement, RunReport, SeatView } from './ClaimMessages'
import { RECORD_LIMIT, RECORD_SWEEP_INTERVAL, RELEASED_RETENTION, RETENTION, RETENTION_MARGIN } from './claimTimes'
import type { ClaimRecord, OwnedRecords } from './IdempotencyState'

/**
 * Records a claim as the owner of the team's partition, or tells why not.
 *
 * @param state - the node's state
 * @param ask - the claim
 * @param effects - receives the timer of the sweep
 * @returns the answer
 * @internal
 */
export function answerClaim (state: NodeState, ask: ClaimAsk, effects: NodeEffect[]): ClaimReply {
  const { claimId, domain } = ask
  const owned = findOwned(state, ask)
  if (owned === undefined) return { claimId, domain, result: 'cannotTell' }
  const { epoch, sequence } = owned.entry
  return { claimId, domain, seat: { domain, epoch, sequence }, ...judgeClaim(state, owned, ask, effects) }
}

function judgeClaim (
  state: NodeState,
  owned: OwnedRecords,
  ask: ClaimAsk,
  effects: NodeEffect[]
): Pick<ClaimReply, 'result' | 'run'> {
  if (!canRecord(state, owned, ask)) return { result: 'cannotTell' }
  const record = findRecord(state, owned, ask)
  const isSame = record?.claimId === ask.claimId
  if (record?.run.kind === 'released') {
    // A copy of the released claim itself came late.
    if (isSame) return { result: 'cannotTell' }
  } else if (record !== undefined) {
    if (isSame && record.run.kind === 'pending') return { result: 'recorded' }
    return { result: 'exists', run: reportRun(state, record) }
  }
  if (record === undefined && !hasSpace(state)) return { result: 'full' }
  putRecord(state, owned, { ...ask, run: { kind: 'pending' }, expiresAt: retainFromNow(state) }, effects)
  return { result: 'recorded' }
}

/**
 * Takes the end of a claim into the records.
 *
 * @param state - the node's state
 * @param settlement - how the claim ended
 * @param effects - receives the timer of the sweep
 * @returns whether this node is the owner that keeps the record
 * @internal
 */
export function acceptSettlement (state: NodeState, settlement: ClaimSettlement, effects: NodeEffect[]): boolean {
  const owned = findOwned(state, settlement)
  if (owned === undefined || owned.status === 'frozen') return false
  const record = findRecord(state, owned, settlement)
  // Another claim of the key has been recorded here; this one has no majority that counts on this owner.
  if (record !== undefined && record.claimId !== settlement.claimId) return true
  const { outcome } = settlement
  if (outcome.kind === 'not-run') {
    const expiresAt = addMillis(state.now, RELEASED_RETENTION)
    putRecord(state, owned, { ...settlement, run: { kind: 'released' }, expiresAt }, effects)
  } else {
    putRecord(state, owned, { ...settlement, run: outcome, expiresAt: retainFromNow(state) }, effects)
  }
  return true
}

/**
 * @param state - the node's state
 * @param key - a team and a domain
 * @returns the records of the team's partition if this node owns it in the domain
 * @internal
 */
export function findOwned (state: NodeState, { team, domain }: Pick<ClaimAsk, 'team' | 'domain'>): OwnedRecords | undefined {
  const owned = state.idempotency.owned.get(assignmentKey(partitionOf(team), domain))
  if (owned?.status === 'copying' && state.now >= owned.opensAt) owned.status = 'open'
  return owned
}

function canRecord (state: NodeState, owned: OwnedRecords, { seats }: ClaimAsk): boolean {
  if (owned.status !== 'open' || !isFresh(state)) return false
  for (const seat of seats) {
    // The gateway knows of a newer owner than this node.
    if (seat.domain === owned.entry.domain && isNewer(seat, owned.entry)) return false
    // The gateway counts on an owner whose successor has copied the records here already: without this claim.
    const fence = owned.fences.get(seat.domain)
    if (fence !== undefined && isNewer(fence, seat)) return false
  }
  return true
}

/**
 * @param seat - a seat
 * @param other - another one of the same domain
 * @returns whether the first is the newer one
 * @internal
 */
export function isNewer (seat: Omit<SeatView, 'domain'>, other: Omit<SeatView, 'domain'>): boolean {
  const place = { partition: toId<never>(0), domain: toId<never>(''), owner: toId<NodeId>('') }
  return supersedes({ ...place, epoch: seat.epoch, sequence: seat.sequence }, {
    ...place, epoch: other.epoch, sequence: other.sequence
  })
}

function retainFromNow (state: NodeState): Millis {
  return addMillis(state.now, millis(RETENTION + RETENTION_MARGIN))
}

function recordKey ({ team, digest }: Pick<ClaimKey, 'team' | 'digest'>): string {
  return `${team}/${digest}`
}

/**
 * @param state - the node's state
 * @param owned - the records of a partition
 * @param key - a team and a digest
 * @returns the record, unless it has expired
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
 * Puts a record in place of an earlier one of the same key.
 *
 * @param state - the node's state
 * @param owned - the records of the partition
 * @param record - the record, without its order
 * @param effects - receives the timer of the sweep
 * @internal
 */
export function putRecord (
  state: NodeState,
  owned: OwnedRecords,
  { team, digest, claimId, gateway, run, expiresAt }: Omit<ClaimRecord, 'order'>,
  effects: NodeEffect[]
): void {
  const key = recordKey({ team, digest })
  // Records stay in the order of their numbers, so that copying finds a changed record again.
  if (owned.records.delete(key)) state.idempotency.recordCount -= 1
  const order = ++state.idempotency.lastOrder
  owned.records.set(key, { team, digest, claimId, gateway, run, expiresAt, order })
  state.idempotency.recordCount += 1
  startRecordSweep(state, effects)
}

function reportRun (state: NodeState, { run, gateway }: ClaimRecord): RunReport {
  if (run.kind === 'released') return { kind: 'unknown' }
  if (run.kind !== 'pending' || gateway === state.identity.nodeId) return run
  const status = state.membership.members.get(gateway)?.status
  // The gateway cannot tell the outcome any more, and the request may have run.
  return status === undefined || status === 'dead' || status === 'left' ? { kind: 'unknown' } : run
}

function hasSpace (state: NodeState): boolean {
  if (state.idempotency.recordCount < RECORD_LIMIT) return true
  sweepRecords(state)
  return state.idempotency.recordCount < RECORD_LIMIT
}

/**
 * Drops expired records.
 *
 * @param state - the node's state
 * @internal
 */
export function sweepRecords (state: NodeState): void {
  for (const { records } of state.idempotency.owned.values()) {
    for (const [key, { expiresAt }] of records) {
      if (expiresAt <= state.now && records.delete(key)) state.idempotency.recordCount -= 1
    }
  }
}

/**
 * @param state - the node's state
 * @param effects - receives the timer of the sweep, unless it runs
 * @internal
 */
export function startRecordSweep (state: NodeState, effects: NodeEffect[]): void {
  if (state.idempotency.sweeping || state.idempotency.recordCount === 0) return
  state.idempotency.sweeping = true
  effects.push({
    slice: 'timer',
    type: 'set',
    id: toId('idempotency/sweep'),
    delay: RECORD_SWEEP_INTERVAL,
    event: { slice: 'idempotency', type: 'sweepDue' }
  })
}
