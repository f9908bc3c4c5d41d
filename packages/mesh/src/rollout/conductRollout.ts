import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { decidePhase } from './decidePhase'
import { isFinal, isSameOrder } from './RolloutOrder'
import type { Conduct, Rollout } from './RolloutState'
import { WRITE_TIMEOUT } from './rolloutTimings'
import { sendSteps } from './sendSteps'
import { writeDueRecord } from './writeDueRecord'

/** Steps that a conductor sends after the roll-out has ended, since datagrams may be lost. */
const FINAL_STEPS = 8

/**
 * Takes one step of a roll-out that this node conducts: decides on the phase, raises allowances, writes the record, and
 * tells the nodes of the service. An allowance is sent once the store has acknowledged the record that contains it.
 *
 * @param state - the node's state
 * @param rollout - the roll-out
 * @param conduct - this node's work on it
 * @returns effects
 * @internal
 */
export function conductRollout (state: MeshState, rollout: Rollout, conduct: Conduct): MeshEffect[] {
  const { rollout: { conducts }, now } = state
  const record = conduct.stored?.record
  if (record !== undefined && isSameOrder(record.order, rollout.order) && isFinal(record.phase)) {
    conduct.finalSteps += 1
    if (conduct.finalSteps > FINAL_STEPS) conducts.delete(rollout.order.service)
    return sendSteps(state, rollout, conduct)
  }
  const effects: MeshEffect[] = []
  if (conduct.pending !== undefined && now - conduct.pending.since > WRITE_TIMEOUT) {
    conduct.pending = undefined
    conduct.readAt = now
    effects.push({ slice: 'rollout', type: 'readRecords' })
  }
  // A promotion that the store has not acknowledged yet may have become wrong.
  if (conduct.decision?.phase !== 'rolledBack') effects.push(...decidePhase(state, rollout, conduct))
  return [...effects, ...writeDueRecord(state, rollout, conduct), ...sendSteps(state, rollout, conduct)]
}
