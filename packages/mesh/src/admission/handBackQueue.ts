import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { SlotRefusal } from '../messages/PeerMessage'
import type { Reservation } from './AdmissionState'
import { refuseReservation } from './startQueued'

/**
 * Refuses queued reservations, so that their gateways turn to other servers at once.
 *
 * @param state - the node's state
 * @param refusal - why
 * @param concerns - which of them; all by default
 * @returns effects
 * @internal
 */
export function handBackQueue (
  state: MeshState,
  refusal: SlotRefusal,
  concerns: (reservation: Reservation) => boolean = () => true
): MeshEffect[] {
  const effects: MeshEffect[] = []
  for (const reservation of [...state.admission.reservations.values()]) {
    if (reservation.phase !== 'queued' || !concerns(reservation)) continue
    state.admission.reservations.delete(reservation.id)
    effects.push(refuseReservation(state, reservation, refusal))
  }
  return effects
}
