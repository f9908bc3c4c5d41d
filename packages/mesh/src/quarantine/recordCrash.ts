import type { MeshState } from '../MeshState'
import type { CrashMessage } from '../messages/PeerMessage'

/** Largest number of fingerprints to keep. The oldest is removed to make room for a new one. */
const MAX_MARKS = 2_048

/**
 * Records a fingerprint that was running when a backend server crashed.
 *
 * @param state - the node's state
 * @param crash - the crash
 * @internal
 */
export function recordCrash ({ quarantine, now }: MeshState, { fingerprint, endpoint, startedAt }: CrashMessage): void {
  let mark = quarantine.marks.get(fingerprint)
  if (mark === undefined) {
    const oldest = quarantine.marks.size >= MAX_MARKS ? quarantine.marks.keys().next().value : undefined
    if (oldest !== undefined) quarantine.marks.delete(oldest)
    mark = { incarnations: new Set(), at: now }
    quarantine.marks.set(fingerprint, mark)
  }
  mark.incarnations.add(`${endpoint}@${startedAt}`)
  mark.at = now
}
