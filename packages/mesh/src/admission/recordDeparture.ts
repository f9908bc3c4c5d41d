import { toId } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { DepartureNotRecorded, DepartureRecorded } from './AdmissionEvent'
import { DEPARTURE_RETRY_DELAY } from './admissionTimings'
import type { AnnouncementId } from './AnnouncementId'
import { type Departure, hasDeparted } from './Departure'

const RETRY_TIMER = toId<never>('admission/departure')

/**
 * Remembers that a backend server has left, and records it in the registry: an announcement that was sent before may
 * arrive later, also at the next process of this node.
 *
 * @param state - the node's state
 * @param departure - the incarnation that leaves
 * @returns effects
 * @internal
 */
export function recordDeparture ({ admission }: MeshState, departure: Departure): MeshEffect[] {
  if (hasDeparted(admission.departure, departure)) return []
  admission.departure = departure
  admission.isDepartureRecorded = false
  return [{ slice: 'directory', type: 'recordDeparture', departure }]
}

/**
 * Acknowledges a call that reports a departure, once the departure is recorded. An acknowledgement is a promise that
 * later processes of this node must keep.
 *
 * @param state - the node's state
 * @param call - the call, if it waits for a response
 * @returns effects
 * @internal
 */
export function acknowledgeDeparture ({ admission }: MeshState, call: AnnouncementId | undefined): MeshEffect[] {
  if (call === undefined) return []
  if (admission.departure !== undefined && !admission.isDepartureRecorded) {
    admission.unacknowledgedCalls.push(call)
    return []
  }
  return [{ slice: 'announcement', type: 'acknowledge', call, accepted: true }]
}

/**
 * Handles the registry's confirmation of a departure.
 *
 * @param state - the node's state
 * @param event - the recorded departure
 * @returns effects
 * @internal
 */
export function confirmDeparture ({ admission }: MeshState, { departure }: DepartureRecorded): MeshEffect[] {
  if (!hasDeparted(departure, admission.departure ?? departure)) return []
  admission.isDepartureRecorded = true
  const { endpoint, startedAt } = departure
  return [
    { slice: 'timer', type: 'clear', id: RETRY_TIMER },
    ...answerCalls(admission.unacknowledgedCalls, true),
    { slice: 'log', type: 'line', level: 'info', message: 'departure recorded', fields: { endpoint, startedAt } }
  ]
}

/**
 * Handles a departure that the registry did not confirm. The server is told to call again, and the record is written
 * again after a pause.
 *
 * @param state - the node's state
 * @param event - the departure and the reason
 * @returns effects
 * @internal
 */
export function handleUnrecordedDeparture (
  { admission }: MeshState,
  { departure: { endpoint, startedAt }, reason }: DepartureNotRecorded
): MeshEffect[] {
  const event = { slice: 'admission', type: 'departureDue' } as const
  const fields = { endpoint, startedAt, reason, calls: admission.unacknowledgedCalls.length }
  return [
    ...answerCalls(admission.unacknowledgedCalls, false),
    { slice: 'timer', type: 'set', id: RETRY_TIMER, delay: DEPARTURE_RETRY_DELAY, event },
    { slice: 'log', type: 'line', level: 'warn', message: 'departure not recorded', fields }
  ]
}

/**
 * Writes the record of a departure again.
 *
 * @param state - the node's state
 * @returns effects
 * @internal
 */
export function retryDeparture ({ admission }: MeshState): MeshEffect[] {
  const { departure, isDepartureRecorded } = admission
  return departure === undefined || isDepartureRecorded ? [] : [{ slice: 'directory', type: 'recordDeparture', departure }]
}

function answerCalls (calls: AnnouncementId[], accepted: boolean): MeshEffect[] {
  return calls.splice(0).map((call) => ({ slice: 'announcement', type: 'acknowledge', call, accepted }))
}
