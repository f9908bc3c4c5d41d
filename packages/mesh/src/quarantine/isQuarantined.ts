import { millis, type Fingerprint } from '@lavenderturn/types'
import type { MeshState } from '../MeshState'

/**
 * Crashes after which requests with a fingerprint are refused. A single crash may have coincided with them by chance.
 */
const QUARANTINE_THRESHOLD = 2

/** Time since the latest crash for which a fingerprint's crashes count. */
const MARK_RETENTION = millis(600_000)

/**
 * @param state - the node's state
 * @param fingerprint - the fingerprint of a request
 * @returns whether such requests are refused because they crash backend servers
 * @internal
 */
export function isQuarantined (state: MeshState, fingerprint: Fingerprint): boolean {
  return countCrashes(state, fingerprint) >= QUARANTINE_THRESHOLD
}

/**
 * @param state - the node's state
 * @param fingerprint - the fingerprint of a request
 * @returns the number of backend servers that crashed while running such a request
 * @internal
 */
export function countCrashes ({ quarantine, now }: MeshState, fingerprint: Fingerprint): number {
  const mark = quarantine.marks.get(fingerprint)
  return mark === undefined || now - mark.at > MARK_RETENTION ? 0 : mark.incarnations.size
}
