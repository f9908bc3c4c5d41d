import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { SlotRefusal } from '../messages/PeerMessage'
import type { Reservation } from './AdmissionState'
import { refuseReservation } from './grantQueued'

/**
 * Refuses queued reservations, so that their gateways can try other servers immediately.
 *
 * @param state - the node's state
 * @param refusal - the reason
 * @param shouldReject - selects the reservations to refuse; all by default
 * @returns effects
 * @internal
 */
export function rejectQueued (
  state: MeshState,
  refusal: SlotRefusal,
  shouldReject: (reservation: Reservation) => boolean = () => true
): MeshEffect[] {
  const effects: MeshEffect[] = []
  for (const reservation of [...state.admission.reservations.values()]) {
    if (reservation.phase !== 'queued' || !shouldReject(reservation)) continue
    state.admission.reservations.delete(reservation.id)
    effects.push(refuseReservation(state, reservation, refusal))
  }
  return effects
}
