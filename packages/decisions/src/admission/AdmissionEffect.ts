import type { Address, AttemptId, BootId, EndpointId, Millis, ResultName } from '@lavenderturn/types'
import type { LoadReport } from '../health/LoadReport'

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
  /** Absent when the endpoint is not announced here. */
  readonly load?: LoadReport
}

/** Tells the gateway that a dispatched attempt failed, unless its answer has begun already. @public */
export interface FailWork {
  readonly slice: 'admission'
  readonly type: 'failWork'
  readonly attemptId: AttemptId
  readonly result: ResultName
  /** Boot id of the backend server if it died; such a request must not be retried automatically. */
  readonly crashedBoot?: BootId
  readonly load?: LoadReport
}

/** Cancels a dispatched attempt at the backend server. @public */
export interface CancelDispatch {
  readonly slice: 'admission'
  readonly type: 'cancelDispatch'
  readonly attemptId: AttemptId
}

/** @public */
export type AdmissionEffect = CancelDispatch | Dispatch | FailWork | Reject
