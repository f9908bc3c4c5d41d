import { type Millis, millis } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import type { ControlState } from './ControlState'

/**
 * How long a node may serve team traffic after it was last sure of its revision. With 0.5 s for the spread of a
 * change this keeps the bound of 3 s on withdrawn keys.
 */
export const FRESHNESS_BOUND = millis(2_500)

/**
 * Tells whether the node may serve team traffic: within the bound, either the head was read (by itself, or by a peer
 * whose answer carried the age of the read) or data centres that hold a majority of the members were heard, and the
 * revision in force was the latest then.
 *
 * @param state - the node's state
 * @returns whether the node may serve team traffic with its control document
 * @public
 */
export function isFresh (state: NodeState): boolean {
  return isFreshAt(state, state.now)
}

/**
 * @param state - the node's state
 * @param at - time of the question, on the node's clock
 * @returns whether the node may serve team traffic at that time, if no event happens before
 * @public
 */
export function isFreshAt ({ control }: NodeState, at: Millis): boolean {
  return at - provenAt(control) <= FRESHNESS_BOUND
}

/**
 * @param control - the slice's state
 * @returns the latest time at which the revision in force was known to be the latest
 * @public
 */
export function provenAt (control: ControlState): Millis {
  return control.revision < control.highestHeard ? control.heldProofAt : latestProofAt(control)
}

/**
 * @param control - when the head was read and when a majority was heard
 * @returns when the node was last sure that no newer revision can be in force
 * @public
 */
export function latestProofAt (
  { headReadAt, majorityAt }: { readonly headReadAt: Millis, readonly majorityAt: Millis }
): Millis {
  return millis(Math.max(headReadAt, majorityAt))
}

/**
 * @param control - when the head was read and when a majority was heard
 * @param at - time of the question
 * @returns age of the newest proof that the revision in force is the latest
 * @internal
 */
export function freshnessAge (
  { headReadAt, majorityAt }: { readonly headReadAt: Millis, readonly majorityAt: Millis }, at: Millis
): Millis {
  return millis(at - latestProofAt({ headReadAt, majorityAt }))
}
