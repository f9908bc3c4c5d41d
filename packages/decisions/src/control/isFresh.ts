import { type Millis, millis } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import type { ControlState } from './ControlState'

/**
 * Maximum age of the proof of freshness with which a node may serve team traffic. Together with 0.5 s for the spread of
 * a change, it keeps the bound of 3 s on withdrawn keys.
 */
export const FRESHNESS_BOUND = millis(2_500)

/**
 * Tells whether the node may serve team traffic. This requires a proof, no older than `FRESHNESS_BOUND`, that the
 * revision in force was the latest: either a read of the head (by this node, or by a peer that reported the age of the
 * read) or heartbeats of data centres that hold a majority of the members.
 *
 * @param state - the node's state
 * @returns whether the node may serve team traffic with its control document
 * @public
 */
export function isFresh (state: NodeState): boolean {
  return isFreshAt(state, state.now)
}

/**
 * Tells whether the node may serve team traffic at a given time, provided that no event changes its state before.
 *
 * @param state - the node's state
 * @param at - time on the node's clock
 * @returns whether the node may serve team traffic at that time
 * @public
 */
export function isFreshAt ({ control }: NodeState, at: Millis): boolean {
  return at - revisionConfirmedAt(control) <= FRESHNESS_BOUND
}

/**
 * Determines when the revision in force was last proven to be the latest.
 *
 * @param control - the slice's state
 * @returns the time of the newest proof that applies to the revision in force
 * @public
 */
export function revisionConfirmedAt (control: ControlState): Millis {
  return control.revision < control.highestKnownRevision ? control.lastConfirmedAt : latestProofAt(control)
}

/**
 * Determines the time of the newest proof that no revision above the highest known one was accepted.
 *
 * @param control - when the head was read, and the time of the newest heartbeats of a majority
 * @returns the time of the newest proof
 * @public
 */
export function latestProofAt (
  { headReadAt, majorityProofAt }: { readonly headReadAt: Millis, readonly majorityProofAt: Millis }
): Millis {
  return millis(Math.max(headReadAt, majorityProofAt))
}

/**
 * Computes the age of the newest proof of freshness.
 *
 * @param control - when the head was read, and the time of the newest heartbeats of a majority
 * @param at - time at which the age is taken
 * @returns the age
 * @internal
 */
export function freshnessAge (
  { headReadAt, majorityProofAt }: { readonly headReadAt: Millis, readonly majorityProofAt: Millis }, at: Millis
): Millis {
  return millis(at - latestProofAt({ headReadAt, majorityProofAt }))
}
