import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { adoptOrder } from './adoptOrder'
import { isFinal, type RolloutOrder } from './RolloutOrder'

/**
 * Applies all orders that the store holds.
 *
 * @param state - the node's state
 * @param orders - the orders
 * @returns effects
 * @internal
 */
export function applyOrders (state: MeshState, orders: readonly RolloutOrder[]): MeshEffect[] {
  const { rollout } = state
  rollout.ordersKnown = true
  const effects = orders.flatMap((order) => adoptOrder(state, order))
  const ordered = new Set(orders.map(({ service }) => service))
  for (const { service } of orders) rollout.rollouts.get(service)!.withdrawn = false
  for (const [service, existing] of rollout.rollouts) {
    if (ordered.has(service) || existing.withdrawn || isFinal(existing.phase)) continue
    existing.withdrawn = true
    const fields = { service, to: existing.order.to }
    effects.push({ slice: 'log', type: 'line', level: 'info', message: 'roll-out withdrawn', fields })
  }
  return effects
}
