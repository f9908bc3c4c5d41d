import type { Address, EndpointId, Millis } from '@lavenderturn/types'
import type { SlotRefusal } from '../messages/PeerMessage'
import type { ReservationId } from './ReservationId'

/** Dispatches a request to the backend server. @public */
export interface Dispatch {
  readonly slice: 'admission'
  readonly type: 'dispatch'
  readonly reservation: ReservationId
  readonly address: Address
  readonly endpoint: EndpointId
  readonly timeout: Millis
  /**
   * Whether an idle connection may be reused. The server may have closed it unnoticed, or a stray answer may be
   * buffered on it, so work that may run only once gets a new connection.
   */
  readonly reuseConnection: boolean
}

/** Aborts the exchange with the backend server. @public */
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

/** Delivers the backend server's answer, or the known cause of the failure, to the gateway. @public */
export interface Deliver {
  readonly slice: 'admission'
  readonly type: 'deliver'
  readonly reservation: ReservationId
  /** Whether an earlier send may have run the request, whatever the outcome of the last one. */
  readonly mayHaveRun: boolean
}

/** Discards the stored answer of a reservation. @public */
export interface Forget {
  readonly slice: 'admission'
  readonly type: 'forget'
  readonly reservation: ReservationId
}

/** @public */
export type AdmissionEffect = Abort | Deliver | Dispatch | Forget | RejectWork
