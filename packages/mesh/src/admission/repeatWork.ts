import { millis } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { WorkOutcome } from './AdmissionEvent'
import type { Reservation } from './AdmissionState'
import { recordDispatch } from './findColdStartDelay'
import { findDispatchDelay } from './findDispatchDelay'
import { findUnavailableReason } from './findUnavailableReason'

/**
 * Decides whether a request is sent to the backend server once more because its kept connection broke. Such a request
 * reaches the server now, so it needs what any other request needs: a server that accepts work, is not cold and has not
 * reached its limit.
 *
 * @param state - the node's state
 * @param reservation - the reservation of the request
 * @param outcome - how the exchange ended
 * @returns whether to send it again
 * @internal
 */
export function canRepeatWork (state: MeshState, { work, repeatable }: Reservation, outcome: WorkOutcome): boolean {
  if (outcome.kind !== 'broken' || outcome.reason !== 'staleConnection') return false
  if (work === undefined || work.isRepeated || !repeatable || state.now >= work.deadline) return false
  return findUnavailableReason(state) === undefined && findDispatchDelay(state) === 0
}

/**
 * Sends a request to the backend server once more, on a new connection.
 *
 * @param state - the node's state
 * @param reservation - the reservation of the request
 * @returns effects
 * @internal
 */
export function repeatWork (state: MeshState, { id: reservation, work }: Reservation): MeshEffect[] {
  const { endpoint, address } = state.admission.server!
  const { callerRequestId: request, startedAt, deadline } = work!
  work!.isRepeated = true
  recordDispatch(state)
  const timeout = millis(deadline - state.now)
  const fields = { request, reservation, endpoint, elapsedMs: Math.round(state.now - startedAt) }
  return [
    { slice: 'admission', type: 'dispatch', reservation, address, endpoint, timeout, reuseConnection: false },
    { slice: 'log', type: 'line', level: 'info', message: 'work repeated', fields }
  ]
}
