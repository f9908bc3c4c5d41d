import { millis } from '@lavenderturn/types'
import type { MeshState } from '../MeshState'

/**
 * Part of the time within which a withdrawn key must stop working that a confirmation lasts. The rest covers the way
 * of a request from the caller to the backend server.
 */
const CONFIRMATION_VALIDITY_SHARE = 0.86

/**
 * Tells whether the configuration in force was the latest one recently enough to run requests with keys. The greater
 * of both clocks' ages counts, because the steady clock stands still on a suspended machine.
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
