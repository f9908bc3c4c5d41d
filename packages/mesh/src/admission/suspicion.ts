import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { Reservation } from './AdmissionState'
import type { RequestEvidence } from './GrayFailureDetector'

/**
 * Records that the backend server has become suspect.
 *
 * @param state - the node's state
 * @param evidence - the evidence that decided
 * @returns the log line
 * @internal
 */
export function startSuspicion ({ admission, now }: MeshState, evidence: RequestEvidence): MeshEffect {
  admission.suspicion = { since: now, trials: 0, lastTrialAt: now, longestGapMs: 0 }
  const fields = { endpoint: admission.server?.endpoint, evidence }
  return { slice: 'log', type: 'line', level: 'info', message: 'backend server is suspect', fields }
}

/**
 * Records that the backend server is no longer suspect.
 *
 * @param state - the node's state
 * @param evidence - the evidence that decided
 * @returns the log line
 * @internal
 */
export function endSuspicion ({ admission, now }: MeshState, evidence: RequestEvidence): MeshEffect {
  const { suspicion } = admission
  admission.suspicion = undefined
  const fields = {
    endpoint: admission.server?.endpoint,
    evidence,
    suspectMs: suspicion === undefined ? undefined : Math.round(now - suspicion.since),
    trials: suspicion?.trials,
    longestGapMs: suspicion === undefined ? undefined : Math.round(suspicion.longestGapMs)
  }
  return { slice: 'log', type: 'line', level: 'info', message: 'backend server is sound again', fields }
}

/**
 * Records that a suspect backend server gets a request.
 *
 * @param state - the node's state
 * @param reservation - the reservation that was granted
 * @returns the log line
 * @internal
 */
export function recordTrial ({ admission, now }: MeshState, reservation: Reservation): MeshEffect {
  const { suspicion } = admission
  const gapMs = suspicion === undefined ? 0 : now - suspicion.lastTrialAt
  if (suspicion !== undefined) {
    suspicion.trials += 1
    suspicion.lastTrialAt = now
    suspicion.longestGapMs = Math.max(suspicion.longestGapMs, gapMs)
  }
  const { id, gateway, canRetry, acceptSuspect } = reservation
  const fields = {
    endpoint: admission.server?.endpoint, reservation: id, gateway, canRetry, acceptSuspect, gapMs: Math.round(gapMs)
  }
  return { slice: 'log', type: 'line', level: 'debug', message: 'trial granted', fields }
}

/**
 * Describes a slot request that was refused because the backend server is suspect.
 *
 * @param state - the node's state
 * @param request - the refused request
 * @returns the log line
 * @internal
 */
export function describeDeniedTrial (
  { admission, now }: MeshState,
  { id, gateway, canRetry }: Pick<Reservation, 'id' | 'gateway' | 'canRetry'>
): MeshEffect {
  const fields = {
    endpoint: admission.server?.endpoint,
    reservation: id,
    gateway,
    reason: canRetry ? 'notDue' : 'notRetryable',
    dueInMs: Math.max(0, Math.round(admission.nextTrialAt - now)),
    sinceTrialMs: admission.suspicion === undefined ? undefined : Math.round(now - admission.suspicion.lastTrialAt)
  }
  return { slice: 'log', type: 'line', level: 'debug', message: 'trial denied', fields }
}
