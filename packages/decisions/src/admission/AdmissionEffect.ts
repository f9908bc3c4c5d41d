import type { Address, AttemptId, EndpointId, Millis, ResultName } from '@lavenderturn/types'

/** Sends an attempt to the backend server. @public */
export interface Dispatch {
  readonly slice: 'admission'
  readonly type: 'dispatch'
  readonly attemptId: AttemptId
  readonly endpoint: EndpointId
  readonly address: Address
  /** Time left until the deadline. */
  readonly timeout: Millis
  /** Silence after which the connection is given up, when the backend server answers probes; by default a share of
   * `timeout`. */
  readonly silentAfter?: Millis
}

/** Tells the gateway that an attempt was not dispatched. @public */
export interface Reject {
  readonly slice: 'admission'
  readonly type: 'reject'
  readonly attemptId: AttemptId
  readonly result: ResultName
}

/** Cancels a dispatched attempt at the backend server. @public */
export interface CancelDispatch {
  readonly slice: 'admission'
  readonly type: 'cancelDispatch'
  readonly attemptId: AttemptId
}

/** @public */
export type AdmissionEffect = CancelDispatch | Dispatch | Reject
