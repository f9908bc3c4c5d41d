import type { MeshState } from '../MeshState'
import type { CrashMessage } from '../messages/PeerMessage'

/** Marks that a node keeps; the oldest is dropped for a new one. */
const MAX_MARKS = 2_048

/**
 * Marks a fingerprint that ran when a backend server crashed.
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
