import { addMillis, millis, toId } from '@lavenderturn/types'
import { endsBeforeStop } from '../lifecycle/plannedStop'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { SlotRefusal } from '../messages/PeerMessage'
import { isQuarantined } from '../quarantine/isQuarantined'
import type { WorkArrived } from './AdmissionEvent'
import { DEFAULT_SERVICE_MS, MIN_OVERDUE_DELAY, OVERDUE_FACTOR } from './admissionTimings'
import type { Reservation } from './AdmissionState'
import { findServiceTime } from './endWork'
import { describeIdlePeriod } from './describeIdlePeriod'
import { findUnavailableReason } from './findUnavailableReason'
import { recordDispatch } from './findColdStartDelay'
import { voidReservation } from './voidReservation'

/**
 * Dispatches the request of a granted reservation to the backend server. Refuses a request that arrives after its grant
 * expired or after the server closed, because its gateway may have sent it elsewhere in the meantime.
 *
 * @param state - the node's state
 * @param event - the received request
 * @returns effects
 * @internal
 */
export function startWork (state: MeshState, event: WorkArrived): MeshEffect[] {
  const { admission, now } = state
  const { reservation: id, route, fingerprint, timeout } = event
  const reservation = admission.reservations.get(id)
  const refusal = findRefusal(state, reservation, event)
  if (reservation === undefined || refusal !== undefined) {
    return [
      { slice: 'admission', type: 'reject', reservation: id, refusal: refusal ?? 'expired' },
      ...voidReservation(state, id)
    ]
  }
  const server = admission.server!
  reservation.phase = 'running'
  reservation.work = {
    callerRequestId: event.callerRequestId,
    route,
    fingerprint,
    server,
    startedAt: now,
    isColdStart: now < server.coldUntil,
    deadline: addMillis(now, timeout),
    isRepeated: false
  }
  const idle = describeIdlePeriod(state)
  recordDispatch(state)
  const usualMs = findServiceTime(state, route) ?? DEFAULT_SERVICE_MS
  return [
    ...idle,
    { slice: 'timer', type: 'clear', id: toId(`grant/${id}`) },
    {
      slice: 'admission',
      type: 'dispatch',
      reservation: id,
      address: server.address,
      endpoint: server.endpoint,
      timeout,
      reuseConnection: reservation.repeatable
    },
    { slice: 'peer', type: 'send', to: reservation.gateway, message: { kind: 'started', reservation: id } },
    {
      slice: 'timer',
      type: 'set',
      id: toId(`overdue/${id}`),
      delay: millis(Math.max(MIN_OVERDUE_DELAY, usualMs * OVERDUE_FACTOR)),
      event: { slice: 'admission', type: 'workOverdue', reservation: id }
    }
  ]
}

function findRefusal (
  state: MeshState,
  reservation: Reservation | undefined,
  { fingerprint, timeout }: WorkArrived
): SlotRefusal | undefined {
  if (reservation?.phase !== 'granted' || timeout <= 0) return 'expired'
  if (isQuarantined(state, fingerprint)) return 'closed'
  const unavailableReason = findUnavailableReason(state)
  if (unavailableReason !== undefined) return unavailableReason
  if (!endsBeforeStop(state, timeout)) return 'closed'
  const isSuspect = state.policies.grayFailureDetector.isSuspect(state.admission.grayFailure, state.now)
  const { acceptSuspect, canRetry, isTrial } = reservation
  return isSuspect && !acceptSuspect && !canRetry && !isTrial ? 'suspect' : undefined
}
