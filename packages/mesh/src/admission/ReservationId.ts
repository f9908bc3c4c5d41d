import type { Branded } from '@lavenderturn/types'

/** Identifies a gateway's reservation of a slot at a backend server, and the attempt that uses the slot. @public */
export type ReservationId = Branded<string, 'ReservationId'>
