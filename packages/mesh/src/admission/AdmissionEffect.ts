import type { Address, EndpointId, Millis } from '@lavenderturn/types'
import type { SlotRefusal } from '../messages/PeerMessage'
import type { ReservationId } from './ReservationId'

/** Sends a request to the backend server. @public */
export interface Dispatch {
  readonly slice: 'admission'
  readonly type: 'dispatch'
  readonly reservation: ReservationId
  readonly address: Address
  readonly endpoint: EndpointId
  readonly timeout: Millis
  /**
   * Whether an idle connection may be used. A server may have closed one without a sign, and a late extra answer may
   * wait on it, so that work that may not be repeated gets a new connection.
   */
  readonly reuseConnection: boolean
}

/** Breaks off the exchange with the backend server. @public */
export interface Abort {
  readonly slice: 'admission'
  readonly type: 'abort'
  readonly reservation: ReservationId
}

/** Tells the gateway that its request has not run and never will. @public */
export interface RejectWork {
  readonly slice: 'admission'
  readonly type: 'reject'
  readonly reservation: ReservationId
  readonly refusal: SlotRefusal
}

/** Hands the backend server's answer, or what is known of the failure, to the gateway. @public */
export interface Deliver {
  readonly slice: 'admission'
  readonly type: 'deliver'
  readonly reservation: ReservationId
}

/** Forgets the answer of a reservation. @public */
export interface Forget {
  readonly slice: 'admission'
  readonly type: 'forget'
  readonly reservation: ReservationId
}

/** @public */
export type AdmissionEffect = Abort | Deliver | Dispatch | Forget | RejectWork
