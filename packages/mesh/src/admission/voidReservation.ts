import { toId } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { RESULT_RETENTION } from './admissionTimings'
import type { ReservationId } from './ReservationId'
import { grantQueued } from './grantQueued'

/**
 * Gives up the slot of a reservation that no request has used. The reservation is kept for a while, so that its gateway
 * can learn that the request has not run.
 *
 * @param state - the node's state
 * @param id - the reservation
 * @returns effects
 * @internal
 */
export function voidReservation (state: MeshState, id: ReservationId): MeshEffect[] {
  const reservation = state.admission.reservations.get(id)
  if (reservation?.phase !== 'queued' && reservation?.phase !== 'granted') return []
  reservation.phase = 'void'
  const event = { slice: 'admission', type: 'resultExpired', reservation: id } as const
  return [
    { slice: 'timer', type: 'clear', id: toId(`grant/${id}`) },
    { slice: 'timer', type: 'set', id: toId(`result/${id}`), delay: RESULT_RETENTION, event },
    ...grantQueued(state)
  ]
}
