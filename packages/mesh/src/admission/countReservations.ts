import type { AdmissionState, Reservation } from './AdmissionState'

/**
 * @param admission - the admission's state
 * @param phases - the phases to count
 * @returns the number of reservations in any of the phases
 * @internal
 */
export function countReservations (admission: AdmissionState, ...phases: ReadonlyArray<Reservation['phase']>): number {
  let count = 0
  for (const { phase } of admission.reservations.values()) if (phases.includes(phase)) count += 1
  return count
}
