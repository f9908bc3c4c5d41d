import type { AdmissionState, Reservation } from './AdmissionState'

/**
 * @param admission - the admission's state
 * @param phases - phases to count
 * @returns how many reservations are in one of the phases
 * @internal
 */
export function countReservations (admission: AdmissionState, ...phases: ReadonlyArray<Reservation['phase']>): number {
  let count = 0
  for (const { phase } of admission.reservations.values()) if (phases.includes(phase)) count += 1
  return count
}
