import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { isFinal, isSameOrder } from './RolloutOrder'
import type { Conduct, Rollout } from './RolloutState'
import { RECORD_READ_INTERVAL, STEP_VALIDITY, TAKEOVER_TIMEOUT, WRITE_TIMEOUT } from './rolloutTimings'
import { writeDueRecord } from './writeDueRecord'

/**
 * Watches the conductor of a roll-out, and takes its place if the record has not changed for a while or there is none.
 *
 * @param state - the node's state
 * @param rollout - the roll-out
 * @param conduct - this node's work on it
 * @returns effects
 * @internal
 */
export function watchConductor (state: MeshState, rollout: Rollout, conduct: Conduct): MeshEffect[] {
  const { now, lifecycle } = state
  // Calls to the store are billed, so a node that hears the conductor does not read what it writes.
  if (conduct.stored !== undefined && now - rollout.stepAt < STEP_VALIDITY) return []
  const effects = readDueRecords(state, conduct)
  const { stored } = conduct
  if (stored === undefined || lifecycle.stopping) return effects
  if (conduct.pending !== undefined) {
    if (now - conduct.pending.since > WRITE_TIMEOUT) conduct.pending = undefined
    return effects
  }
  const isStarted = stored.record !== undefined && isSameOrder(stored.record.order, rollout.order)
  if (isStarted && isFinal(stored.record.phase)) return effects
  if (isStarted && now - conduct.changedAt < TAKEOVER_TIMEOUT) return effects
  return [...effects, ...writeDueRecord(state, rollout, conduct)]
}

/**
 * Reads the records at intervals.
 *
 * @param state - the node's state
 * @param conduct - this node's work on a roll-out
 * @returns effects
 * @internal
 */
export function readDueRecords ({ now }: MeshState, conduct: Conduct): MeshEffect[] {
  if (now - conduct.readAt < RECORD_READ_INTERVAL) return []
  conduct.readAt = now
  return [{ slice: 'rollout', type: 'readRecords' }]
}
