import { millis } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'

/**
 * How long a node may serve team traffic after it was last sure of its revision. With 0.5 s for the spread of a
 * change this keeps the bound of 3 s on withdrawn keys.
 */
export const FRESHNESS_BOUND = millis(2_500)

/**
 * @param state - the node's state
 * @returns whether the node may serve team traffic with its control document
 * @public
 */
export function isFresh (state: NodeState): boolean {
  return state.now - state.control.freshAt <= FRESHNESS_BOUND
}
