import { addMillis, millis } from '@lavenderturn/types'
import type { StoreEra } from '../configuration/StorePosition'
import { noteStoreEra } from '../configuration/noteStoreEra'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { adoptOrder } from './adoptOrder'
import { applyPhase } from './applyPhase'
import type { RecordsRead } from './RolloutEvent'
import { isFinal, isSameOrder } from './RolloutOrder'
import type { RolloutRecord, StoredRollout } from './RolloutRecord'
import type { Conduct } from './RolloutState'
import { writeDueRecord } from './writeDueRecord'

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

/**
 * Applies the record of one roll-out.
 *
 * @param state - the node's state
 * @param row - the row of the record
 * @param era - era of the store
 * @returns effects
 * @internal
 */
export function applyRow (state: MeshState, row: StoredRollout, era: StoreEra): MeshEffect[] {
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
