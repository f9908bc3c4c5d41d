import { type Millis, millis, type Revision } from '@lavenderturn/types'
import type { MeshState } from '../MeshState'
import type { Confirmation } from './ConfigurationState'
import { isSuperseded } from './isSuperseded'

/** Age of a confirmation that never came. */
export const NEVER_CONFIRMED = millis(1_000_000_000)

/**
 * Finds the age of a confirmation. The greater age of the two clocks counts, because the steady clock stands still on a
 * suspended machine.
 *
 * @param state - the node's state
 * @param confirmed - the confirmation, if any; by default the node's own
 * @returns the age
 * @public
 */
export function findConfirmationAge (
  { configuration, now, wallNow }: MeshState,
  confirmed: Confirmation | undefined = configuration.confirmed
): Millis {
  if (confirmed === undefined) return NEVER_CONFIRMED
  return millis(Math.max(now - confirmed.steadyAt, wallNow - confirmed.wallAt, 0))
}

/**
 * Replaces the node's confirmation unless it has a younger one, or a running node has a later revision in force.
 *
 * @param state - the node's state
 * @param confirmation - a confirmation of the configuration in force, and the revision that was confirmed
 * @internal
 */
export function acceptConfirmation (
  state: MeshState,
  { confirmed, revision }: { readonly confirmed: Confirmation, readonly revision: Revision }
): void {
  if (isSuperseded(state, revision)) return
  if (findConfirmationAge(state, confirmed) <= findConfirmationAge(state)) state.configuration.confirmed = confirmed
}
