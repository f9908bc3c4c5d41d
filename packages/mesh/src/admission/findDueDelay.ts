import type { MeshState } from '../MeshState'
import { REFRESH_INTERVAL } from './admissionTimings'

/**
 * Finds when the backend server should get its next request. Evidence of failures and of long service times keeps
 * requests away from a server, and only requests renew the evidence, so each server has a schedule of its own.
 *
 * @param state - the node's state
 * @returns the time until then in milliseconds; negative if it has passed
 * @internal
 */
export function findDueDelay ({ admission, now, policies }: MeshState): number {
  const isSuspect = policies.grayFailureDetector.isSuspect(admission.grayFailure, now)
  return (isSuspect ? admission.nextTrialAt : admission.lastDispatchAt + REFRESH_INTERVAL) - now
}
