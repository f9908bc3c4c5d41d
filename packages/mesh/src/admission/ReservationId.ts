import type { Branded } from '@lavenderturn/types'

/** A gateway's claim on one slot of one backend server, and the attempt that uses it. @public */
export type ReservationId = Branded<string, 'ReservationId'>
