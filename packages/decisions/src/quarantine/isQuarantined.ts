import type { Fingerprint } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import { countUnclearedCrashes, QUARANTINE_DURATION } from './recordCrash'

/**
 * @param state - the node's state
 * @param fingerprint - fingerprint of an arriving request
 * @returns whether requests with this fingerprint are refused, because they have crashed too many backend servers
 * @public
 */
export function isQuarantined ({ quarantine, now }: NodeState, fingerprint: Fingerprint): boolean {
  const until = quarantine.marks.get(fingerprint)?.quarantinedUntil
  return until !== undefined && now < until
}

/**
 * @param state - the node's state
 * @param fingerprint - fingerprint of a request
 * @returns whether requests with this fingerprint are suspected of a crash and must not be retried automatically
 * @public
 */
export function isSuspect (state: NodeState, fingerprint: Fingerprint): boolean {
  const mark = state.quarantine.marks.get(fingerprint)
  if (mark === undefined || state.now - mark.lastCrashAt >= QUARANTINE_DURATION) return false
  return countUnclearedCrashes(mark) > 0 || isQuarantined(state, fingerprint)
}
