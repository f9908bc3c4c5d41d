import { findServerFault } from '../admission/findUnavailableReason'
import type { MeshState } from '../MeshState'

/**
 * @param state - the node's state
 * @returns whether this instance's backend server accepts requests, apart from its version, and is neither cold nor
 * suspect
 * @internal
 */
export function isServerReady (state: MeshState): boolean {
  const { admission: { grayFailure, server }, lifecycle, now, policies } = state
  if (lifecycle.stopping || findServerFault(state) !== undefined || now < (server?.coldUntil ?? 0)) return false
  return !policies.grayFailureDetector.isSuspect(grayFailure, now)
}
