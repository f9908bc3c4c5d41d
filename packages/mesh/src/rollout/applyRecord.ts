import { addMillis, millis } from '@lavenderturn/types'
import type { StoreEra } from '../configuration/StorePosition'
import { noteStoreEra } from '../configuration/noteStoreEra'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { adoptOrder } from './adoptOrder'
import { applyPhase } from './applyPhase'
import { writeDueRecord } from './conductRollout'
import type { RecordNotWritten, RecordRejected, RecordsRead, RecordWritten } from './RolloutEvent'
import { isFinal, isSameOrder } from './RolloutOrder'
import type { RolloutRecord, StoredRollout } from './RolloutRecord'
import type { Conduct } from './RolloutState'
import { scheduleCheck } from './scheduleCheck'

/** Spreads the eras of the store, within which versions increase, over the terms of conductors. */
const TERMS_PER_ERA = 1e12

/**
 * Applies the records of all roll-outs.
 *
 * @param state - the node's state
 * @param event - the reading
 * @returns effects
 * @internal
 */
export function applyRecords (state: MeshState, { stored, era }: RecordsRead): MeshEffect[] {
  const { rollout } = state
  const effects = noteStoreEra(state, era)
  rollout.recordsKnown = true
  const byService = new Map(stored.map((row) => [row.service, row]))
  for (const row of stored) effects.push(...applyRow(state, row, era))
  for (const service of rollout.conducts.keys()) {
    if (!byService.has(service)) effects.push(...applyRow(state, { service, version: 0 }, era))
  }
  return effects
}

function applyRow (state: MeshState, row: StoredRollout, era: StoreEra): MeshEffect[] {
  const effects = row.record === undefined ? [] : adoptRecord(state, row.record)
  const conduct = state.rollout.conducts.get(row.service)
  return conduct === undefined ? effects : [...effects, ...noteRow(state, conduct, { row, era })]
}

/** Takes over what a record says about the roll-out. */
function adoptRecord (state: MeshState, record: RolloutRecord): MeshEffect[] {
  const { rollouts } = state.rollout
  const effects = adoptOrder(state, record.order)
  const rollout = rollouts.get(record.order.service)!
  if (!isSameOrder(rollout.order, record.order)) {
    // A later order was read before this record of an earlier one.
    if (record.order.to !== rollout.order.to && record.phase !== 'completed') rollout.excluded.add(record.order.to)
    return effects
  }
  for (const version of record.excluded) if (version !== rollout.order.to) rollout.excluded.add(version)
  const orderedAt = addMillis(state.now, millis(-record.elapsedMs))
  if (orderedAt < rollout.orderedAt) rollout.orderedAt = orderedAt
  if (isFinal(record.phase) || !rollout.isPhaseKnown) {
    effects.push(...applyPhase(state, rollout, { phase: record.phase, term: rollout.term, step: rollout.step }))
  }
  return effects
}

function noteRow (
  state: MeshState,
  conduct: Conduct,
  { row: { service, record, version }, era }: { readonly row: StoredRollout, readonly era: StoreEra }
): MeshEffect[] {
  const { identity, now, rollout: { rollouts } } = state
  const { stored } = conduct
  const rollout = rollouts.get(service)
  if (rollout === undefined) return []
  const isRestored = stored !== undefined && era > stored.era
  if (stored === undefined || stored.version !== version || isRestored) conduct.changedAt = now
  // The restored store has an earlier record, or none. What was acknowledged before still holds.
  const isBehind = isRestored && stored.record !== undefined && isSameOrder(stored.record.order, rollout.order) &&
    (record === undefined || record.elapsedMs < stored.record.elapsedMs)
  conduct.stored = { record: isBehind ? stored.record : record, version, era }
  if (conduct.isConductor && !isBehind && record?.conductorBoot !== identity.bootId) {
    return resign(state, conduct, record)
  }
  const isLost = rollout.isPhaseKnown && isFinal(rollout.phase) && state.configuration.relay.following &&
    (record === undefined || (isSameOrder(record.order, rollout.order) && !isFinal(record.phase)))
  if (isLost) conduct.decision = { phase: rollout.phase, reason: 'written again after the store was restored' }
  return isLost || (isBehind && conduct.isConductor) ? writeDueRecord(state, rollout, conduct) : []
}

function resign (state: MeshState, conduct: Conduct, record: RolloutRecord | undefined): MeshEffect[] {
  conduct.isConductor = false
  conduct.decision = undefined
  conduct.pending = undefined
  conduct.reports.clear()
  const fields = { conductor: record?.conductor, boot: record?.conductorBoot }
  return [{ slice: 'log', type: 'line', level: 'info', message: 'roll-out is conducted by another node', fields }]
}

/**
 * Applies the acknowledgement of a write. From its first one on, this node conducts the roll-out.
 *
 * @param state - the node's state
 * @param event - the acknowledgement
 * @returns effects
 * @internal
 */
export function confirmRecord (state: MeshState, { record, position }: RecordWritten): MeshEffect[] {
  const { order, phase } = record
  const conduct = state.rollout.conducts.get(order.service)
  const rollout = state.rollout.rollouts.get(order.service)
  if (conduct === undefined || rollout === undefined || !isSameOrder(rollout.order, order)) return []
  conduct.pending = undefined
  conduct.stored = { record, version: position.version, era: position.era }
  conduct.changedAt = state.now
  const effects: MeshEffect[] = []
  if (!conduct.isConductor) {
    conduct.isConductor = true
    conduct.term = position.era * TERMS_PER_ERA + position.version
    conduct.step = 0
    const fields = { service: order.service, to: order.to, phase, elapsedMs: record.elapsedMs }
    effects.push({ slice: 'log', type: 'line', level: 'info', message: 'roll-out is conducted by this node', fields })
  }
  if (conduct.decision?.phase === phase) conduct.decision = undefined
  effects.push(...applyPhase(state, rollout, { phase, term: conduct.term, step: conduct.step }))
  return [...effects, ...scheduleCheck(state)]
}

/**
 * Handles a write that another node's write has preceded.
 *
 * @param state - the node's state
 * @param event - the row as it is
 * @returns effects
 * @internal
 */
export function handleRejection (state: MeshState, { stored, era }: RecordRejected): MeshEffect[] {
  const conduct = state.rollout.conducts.get(stored.service)
  if (conduct !== undefined) conduct.pending = undefined
  return [...noteStoreEra(state, era), ...applyRow(state, stored, era)]
}

/**
 * Handles a write without a usable response. The record is read before the next one, because the write may have been
 * applied.
 *
 * @param state - the node's state
 * @param event - the failed write
 * @returns effects
 * @internal
 */
export function handleFailedWrite (state: MeshState, { record, reason }: RecordNotWritten): MeshEffect[] {
  const { service, to } = record.order
  const conduct = state.rollout.conducts.get(service)
  if (conduct !== undefined) conduct.pending = undefined
  const fields = { service, to, phase: record.phase, reason }
  return [
    { slice: 'log', type: 'line', level: 'warn', message: 'roll-out record not written', fields },
    { slice: 'rollout', type: 'readRecords' }
  ]
}
