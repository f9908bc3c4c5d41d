import type { MeshState } from '../MeshState'
import type { AskSlotMessage } from '../messages/PeerMessage'
import { TRIAL_OVERDUE } from './admissionTimings'

/**
 * Decides whether a request may be sent to the suspect backend server. Trials are granted one at a time, to requests
 * that can be retried. If none has come for a while after a trial was due, any request is a trial: without trials, a
 * server that has recovered would stay unused.
 *
 * @param state - the node's state
 * @param request - the request
 * @returns whether it may be sent
 * @internal
 */
export function isTrialAllowed (
  { admission: { nextTrialAt }, now }: MeshState,
  { acceptSuspect, canRetry }: Pick<AskSlotMessage, 'acceptSuspect' | 'canRetry'>
): boolean {
  return acceptSuspect || now >= nextTrialAt + (canRetry ? 0 : TRIAL_OVERDUE)
}
