import type { MeshState } from '../MeshState'
import type { LoadSummary } from '../messages/PeerMessage'
import { countPhases } from './countPhases'
import { findClosure } from './findClosure'

/**
 * Describes the backend server of this instance to gateways.
 *
 * @param state - the node's state
 * @returns the summary
 * @internal
 */
export function summarizeLoad (state: MeshState): LoadSummary {
  const { admission, policies, now } = state
  return {
    open: findClosure(state) === undefined,
    slots: admission.server?.slots ?? 0,
    used: countPhases(admission, 'granted', 'running'),
    queued: countPhases(admission, 'queued'),
    suspect: policies.grayDetection.isSuspect(admission.gray, now),
    errorShare: Math.round(admission.errorShare * 1_000) / 1_000,
    serviceMs: Math.round(admission.serviceMs)
  }
}
