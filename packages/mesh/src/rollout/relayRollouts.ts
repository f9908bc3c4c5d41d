import { addMillis, millis } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { RolloutNotice } from '../messages/RolloutMessage'
import { adoptOrder } from './adoptOrder'
import { applyPhase } from './applyPhase'
import { hasRollouts } from './exposureBounds'
import { isFinal, isSameOrder } from './RolloutOrder'

/**
 * Lists the roll-outs that this node knows of, for nodes that do not follow the store.
 *
 * @param state - the node's state
 * @returns the roll-outs, or undefined if this node does not know all of them
 * @internal
 */
export function listNotices ({ bounds, now, rollout }: MeshState): RolloutNotice[] | undefined {
  if (!hasRollouts(bounds) || !rollout.ordersKnown || !rollout.recordsKnown) return undefined
  return [...rollout.rollouts.values()].map(({ order, phase, isPhaseKnown, orderedAt, withdrawn, excluded }) => {
    const { service, to, duration, position: { era, version } } = order
    const known = isPhaseKnown ? phase : null
    return [service, to, duration, era, version, known, Math.round(now - orderedAt), withdrawn, [...excluded]]
  })
}

/**
 * Takes note of the roll-outs that another node knows of. Only a last phase counts: what a conductor says before may
 * have changed since.
 *
 * @param state - the node's state
 * @param notices - the roll-outs
 * @returns effects
 * @internal
 */
export function applyNotices (state: MeshState, notices: readonly RolloutNotice[]): MeshEffect[] {
  const { rollout } = state
  if (!hasRollouts(state.bounds)) return []
  rollout.ordersKnown = true
  rollout.recordsKnown = true
  return notices.flatMap(([service, to, durationMs, era, version, phase, elapsedMs, withdrawn, excluded]) => {
    const order = { service, to, duration: millis(durationMs), position: { era, version } }
    const effects = adoptOrder(state, order)
    const current = rollout.rollouts.get(service)!
    if (!isSameOrder(current.order, order)) return effects
    for (const other of excluded) current.excluded.add(other)
    const orderedAt = addMillis(state.now, millis(-elapsedMs))
    if (orderedAt < current.orderedAt) current.orderedAt = orderedAt
    current.withdrawn ||= withdrawn
    if (phase === null || !isFinal(phase)) return effects
    return [...effects, ...applyPhase(state, current, { phase, term: current.term, step: current.step })]
  })
}
