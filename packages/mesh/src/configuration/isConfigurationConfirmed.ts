import { millis } from '@lavenderturn/types'
import type { MeshState } from '../MeshState'

/**
 * Share of the key revocation time for which a confirmation is valid. The rest covers the time that a request takes
 * from the caller to the backend server.
 */
const CONFIRMATION_VALIDITY_SHARE = 0.86

/**
 * Checks whether the configuration was confirmed recently enough to run requests with keys. The greater age of the two
 * clocks counts, because the steady clock stands still on a suspended machine.
 *
 * @param state - the node's state
 * @returns whether requests with keys may run
 * @public
 */
export function isConfigurationConfirmed ({ configuration, now, wallNow, bounds }: MeshState): boolean {
  const { confirmed } = configuration
  if (confirmed === undefined) return false
  const age = Math.max(now - confirmed.steadyAt, wallNow - confirmed.wallAt)
  return age < millis(bounds.revoke * CONFIRMATION_VALIDITY_SHARE)
}
