import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { QuarantineEvent } from './QuarantineEvent'

/**
 * @param state - the node's state
 * @param event - an event of this slice
 * @returns effects
 * @internal
 */
export function reduceQuarantine (state: NodeState, event: QuarantineEvent): NodeEffect[] {
  return []
}
