import type { Fingerprint } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'

/**
 * @param state - the node's state
 * @param fingerprint - fingerprint of an arriving request
 * @returns whether requests like it have crashed too many backend servers
 * @public
 */
export function isQuarantined (state: NodeState, fingerprint: Fingerprint): boolean {
  return false
}

/**
 * @param state - the node's state
 * @param fingerprint - fingerprint of a request
 * @returns whether a request like it is suspected of a crash, and must not be retried automatically
 * @public
 */
export function isSuspect (state: NodeState, fingerprint: Fingerprint): boolean {
  return false
}
