import type { MeshState } from '../MeshState'
import type { LoadSummary } from '../messages/PeerMessage'
import { countReservations } from './countReservations'
import { findDueDelay } from './findDueDelay'
import { findLimitDelay } from './findLimitDelay'
import { findUnavailableReason } from './findUnavailableReason'

/** Keeps the datagrams of idle servers short. */
const MIN_DUE_MS = -9_999

/**
 * Summarizes the load of this instance's backend server for gateways.
 *
 * @param state - the node's state
 * @returns the summary
 * @internal
 */
export function summarizeLoad (state: MeshState): LoadSummary {
  const { admission, policies, now } = state
  return {
    open: findUnavailableReason(state) === undefined,
    slots: admission.server?.slots ?? 0,
    used: countReservations(admission, 'granted', 'running'),
    queued: countReservations(admission, 'queued'),
    suspect: policies.grayFailureDetector.isSuspect(admission.grayFailure, now),
    errorRate: Math.round(admission.errorRate * 1_000) / 1_000,
    serviceMs: Math.round(admission.serviceMs),
    limitDelayMs: Math.round(findLimitDelay(state)),
    dueMs: Math.max(MIN_DUE_MS, Math.round(findDueDelay(state)))
  }
}
