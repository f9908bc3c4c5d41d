import { millis, type Fingerprint } from '@lavenderturn/types'
import type { MeshState } from '../MeshState'

/** Crashes after which requests of a fingerprint are refused. One crash may have hit them by chance. */
const QUARANTINE_THRESHOLD = 2

/** How long marks count. */
const MARK_RETENTION = millis(600_000)

/**
 * @param state - the node's state
 * @param fingerprint - fingerprint of a request
 * @returns whether requests like it are refused, because they crash backend servers
 * @internal
 */
export function isQuarantined (state: MeshState, fingerprint: Fingerprint): boolean {
  return countCrashes(state, fingerprint) >= QUARANTINE_THRESHOLD
}

/**
 * @param state - the node's state
 * @param fingerprint - fingerprint of a request
 * @returns how many backend servers have crashed while they ran such a request
 * @internal
 */
export function countCrashes ({ quarantine, now }: MeshState, fingerprint: Fingerprint): number {
  const mark = quarantine.marks.get(fingerprint)
  return mark === undefined || now - mark.at > MARK_RETENTION ? 0 : mark.incarnations.size
}
