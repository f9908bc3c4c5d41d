import { toId } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { RecalledMessage } from '../messages/PeerMessage'
import { recordCrash } from '../quarantine/recordCrash'
import { BODY_TIMEOUT, DETACHED_TIMEOUT } from './admissionTimings'
import type { AdmissionEvent, WorkRecalled } from './AdmissionEvent'
import { handleAnnouncement, handleWithdrawal } from './handleAnnouncement'
import { confirmDeparture, handleUnrecordedDeparture, retryDeparture } from './recordDeparture'
import { reserveSlot } from './reserveSlot'
import { endStream, endWork, observeEvidence } from './endWork'
import type { ReservationId } from './ReservationId'
import { grantQueued } from './grantQueued'
import { startWork } from './startWork'
import { voidReservation } from './voidReservation'

/**
 * @param state - the node's state
 * @param event - an event of the admission
 * @returns effects
 * @internal
 */
export function reduceAdmission (state: MeshState, event: AdmissionEvent): MeshEffect[] {
  switch (event.type) {
    case 'serverAnnounced': return handleAnnouncement(state, event)
    case 'serverWithdrawn': return handleWithdrawal(state, event)
    case 'departureRecorded': return confirmDeparture(state, event)
    case 'departureNotRecorded': return handleUnrecordedDeparture(state, event)
    case 'departureDue': return retryDeparture(state)
    case 'slotAsked': return reserveSlot(state, event)
    case 'slotReleased': return releaseSlot(state, event.reservation)
    case 'grantExpired': return voidReservation(state, event.reservation)
    case 'queueDue': return grantQueued(state)
    case 'workArriving': return extendGrant(state, event.reservation)
    case 'workArrived': return startWork(state, event)
    case 'workOverdue': return observeOverdue(state, event.reservation)
    case 'workEnded': return endWork(state, event)
    case 'streamOpened':
      state.admission.openStreams += 1
      return []
    case 'streamClosed': return endStream(state, event)
    case 'workCancelled': return cancelWork(state, event.reservation)
    case 'workDetached': return detachWork(state, event.reservation)
    case 'workAttached': return [{ slice: 'timer', type: 'clear', id: toId(`detached/${event.reservation}`) }]
    case 'workRecalled': return recallWork(state, event)
    case 'resultExpired': return forgetResult(state, event.reservation)
    case 'connectionLost':
      state.admission.lastDisruptionAt = state.now
      return []
    case 'crashReported':
      recordCrash(state, event.message)
      return []
  }
}

function releaseSlot (state: MeshState, id: ReservationId): MeshEffect[] {
  const { reservations } = state.admission
  const phase = reservations.get(id)?.phase
  if (phase !== 'queued' && phase !== 'granted') return []
  reservations.delete(id)
  return [{ slice: 'timer', type: 'clear', id: toId(`grant/${id}`) }, ...grantQueued(state)]
}

function extendGrant (state: MeshState, id: ReservationId): MeshEffect[] {
  if (state.admission.reservations.get(id)?.phase !== 'granted') return []
  const event = { slice: 'admission', type: 'grantExpired', reservation: id } as const
  return [{ slice: 'timer', type: 'set', id: toId(`grant/${id}`), delay: BODY_TIMEOUT, event }]
}

function observeOverdue (state: MeshState, id: ReservationId): MeshEffect[] {
  if (state.admission.reservations.get(id)?.phase !== 'running') return []
  // A server that is waiting for a call of its own is not slow itself.
  return hasOutgoingCall(state) ? [] : observeEvidence(state, 'overdue')
}

function hasOutgoingCall ({ gateway }: MeshState): boolean {
  for (const { team } of gateway.requests.values()) if (team === undefined) return true
  return false
}

function cancelWork (state: MeshState, id: ReservationId): MeshEffect[] {
  const reservation = state.admission.reservations.get(id)
  if (reservation === undefined) return []
  // The slot of running work is freed when its exchange ends.
  if (reservation.phase === 'running') return [{ slice: 'admission', type: 'abort', reservation: id }]
  if (reservation.phase === 'done') return forgetResult(state, id)
  return releaseSlot(state, id)
}

function detachWork (state: MeshState, id: ReservationId): MeshEffect[] {
  if (state.admission.reservations.get(id)?.phase !== 'running') return []
  const event = { slice: 'admission', type: 'workCancelled', reservation: id } as const
  return [{ slice: 'timer', type: 'set', id: toId(`detached/${id}`), delay: DETACHED_TIMEOUT, event }]
}

function recallWork (state: MeshState, { reservation: id, replyTo: to }: WorkRecalled): MeshEffect[] {
  const attemptState = findAttemptState(state, id)
  const effects: MeshEffect[] = [{ slice: 'peer', type: 'send', to, message: { kind: 'recalled', reservation: id, attemptState } }]
  return attemptState === 'notStarted' ? effects.concat(voidReservation(state, id)) : effects
}

/** An unknown reservation may have run and been removed, so `unknown` does not state that it did not run. */
function findAttemptState (state: MeshState, id: ReservationId): RecalledMessage['attemptState'] {
  const phase = state.admission.reservations.get(id)?.phase
  if (phase === undefined) return 'unknown'
  if (phase === 'running' || phase === 'done') return phase
  return 'notStarted'
}

function forgetResult (state: MeshState, id: ReservationId): MeshEffect[] {
  const phase = state.admission.reservations.get(id)?.phase
  if (phase !== 'done' && phase !== 'void') return []
  state.admission.reservations.delete(id)
  return [
    { slice: 'timer', type: 'clear', id: toId(`result/${id}`) },
    { slice: 'admission', type: 'forget', reservation: id }
  ]
}
