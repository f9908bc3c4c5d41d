import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { LimitsEvent } from './LimitsEvent'

/**
 * @param state - the node's state
 * @param event - an event of this slice
 * @returns effects
 * @internal
 */
export function reduceLimits (state: NodeState, event: LimitsEvent): NodeEffect[] {
  return []
}
