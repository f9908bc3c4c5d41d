import { millis } from '@lavenderturn/types'
import { isEarlier } from '../configuration/StorePosition'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { isFinal, isSameOrder, type RolloutOrder } from './RolloutOrder'
import { createConduct, createExposure, type Rollout } from './RolloutState'
import { scheduleCheck } from './scheduleCheck'

/**
 * Takes note of an order.
 *
 * @param state - the node's state
 * @param order - an order of the operators
 * @returns effects
 * @internal
 */
export function adoptOrder (state: MeshState, order: RolloutOrder): MeshEffect[] {
  const { rollouts } = state.rollout
  const existing = rollouts.get(order.service)
  if (existing !== undefined) {
    // The same version was ordered again while it is rolled out, or after the store was restored.
    const isRepeated = existing.order.to === order.to && !isFinal(existing.phase)
    if (isSameOrder(existing.order, order) || isRepeated) return resumeOrder(state, existing, order)
    if (!isEarlier(existing.order.position, order.position)) return []
  }
  const excluded = new Set(existing?.excluded)
  // A version that was not proven gets no requests because another one is rolled out instead.
  if (existing !== undefined && existing.phase !== 'completed') excluded.add(existing.order.to)
  excluded.delete(order.to)
  rollouts.set(order.service, {
    order,
    phase: 'canary',
    isPhaseKnown: false,
    phaseSince: state.now,
    orderedAt: state.now,
    withdrawn: false,
    excluded,
    term: 0,
    step: 0,
    stepAt: millis(Number.NEGATIVE_INFINITY)
  })
  state.rollout.conducts.delete(order.service)
  if (order.service === state.identity.service) state.rollout.exposure = createExposure()
  const { service, to, duration: durationMs, position: { version } } = order
  const fields = { service, to, durationMs, version, replaces: existing?.order.to, excluded: [...excluded].join() }
  return [
    { slice: 'log', type: 'line', level: 'info', message: 'roll-out ordered', fields },
    ...scheduleCheck(state, millis(0))
  ]
}

function resumeOrder (state: MeshState, existing: Rollout, order: RolloutOrder): MeshEffect[] {
  const { position } = order
  const isRestored = position.era > existing.order.position.era
  if (isEarlier(existing.order.position, position)) existing.order = { ...existing.order, position }
  if (!isFinal(existing.phase)) return scheduleCheck(state)
  // The restored store may have lost the record, which processes that start later need.
  if (!isRestored || !state.configuration.relay.following) return []
  state.rollout.conducts.set(order.service, createConduct(state.now))
  return [{ slice: 'rollout', type: 'readRecords' }]
}
