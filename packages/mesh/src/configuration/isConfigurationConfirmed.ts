import { millis } from '@lavenderturn/types'
import type { MeshState } from '../MeshState'
import { findConfirmationAge } from './confirmationAge'

/**
 * Share of the key revocation time for which a confirmation is valid. The rest covers the time that a request takes
 * from the caller to the backend server.
 */
const CONFIRMATION_VALIDITY_SHARE = 0.86

/**
 * Checks whether the configuration was confirmed recently enough to run requests with keys.
 *
 * @param state - the node's state
 * @returns whether requests with keys may run
 * @public
 */
export function isConfigurationConfirmed (state: MeshState): boolean {
  return findConfirmationAge(state) < millis(state.bounds.revoke * CONFIRMATION_VALIDITY_SHARE)
}
