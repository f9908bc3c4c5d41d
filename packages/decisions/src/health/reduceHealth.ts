import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { HealthEvent } from './HealthEvent'

/**
 * @param state - the node's state
 * @param event - an event of health
 * @returns effects
 * @internal
 */
export function reduceHealth (state: NodeState, event: HealthEvent): NodeEffect[] {
  switch (event.type) {
    case 'loadReported':
      state.health.loads.set(event.endpoint, event.load)
      return []
  }
}
