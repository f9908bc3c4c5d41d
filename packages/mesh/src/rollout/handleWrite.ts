import { millis } from '@lavenderturn/types'
import { noteStoreEra } from '../configuration/noteStoreEra'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { applyPhase } from './applyPhase'
import { applyRow } from './applyRecords'
import type { RecordNotWritten, RecordRejected, RecordWritten } from './RolloutEvent'
import { isSameOrder } from './RolloutOrder'
import { scheduleCheck } from './scheduleCheck'

/** Spreads the eras of the store, within which versions increase, over the terms of conductors. */
const TERMS_PER_ERA = 1e12

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
    conduct.conductsSince = state.now
    conduct.term = position.era * TERMS_PER_ERA + position.version
    conduct.step = 0
    // The reports contain what an earlier conductor has seen.
    if (record.allowances.length > 0) conduct.canarySince = millis(Number.NEGATIVE_INFINITY)
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
 * Handles a write without a usable response. If it was applied, the next one is rejected and returns the row.
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
  return [{ slice: 'log', type: 'line', level: 'warn', message: 'roll-out record not written', fields }]
}
