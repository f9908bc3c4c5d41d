import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { IdempotencyEvent } from './IdempotencyEvent'

/**
 * @param state - the node's state
 * @param event - an event of this slice
 * @returns effects
 * @internal
 */
export function reduceIdempotency (state: NodeState, event: IdempotencyEvent): NodeEffect[] {
  return []
}
