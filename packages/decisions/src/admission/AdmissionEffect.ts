import type { Address, AttemptId, BootId, EndpointId, Millis, ResultCodeName } from '@lavenderturn/types'
import type { LoadReport } from '../health/LoadReport'

/** Sends an attempt to the backend server. @public */
export interface Dispatch {
  readonly slice: 'admission'
  readonly type: 'dispatch'
  readonly attemptId: AttemptId
  readonly endpoint: EndpointId
  readonly address: Address
  /** Remaining time until the deadline. */
  readonly timeout: Millis
  /** Silence after which the connection is abandoned if the backend server answers probes. The default is a share of
   * `timeout`. */
  readonly silentAfter?: Millis
}

/** Reports to the gateway that an attempt was not run. @public */
export interface Reject {
  readonly slice: 'admission'
  readonly type: 'reject'
  readonly attemptId: AttemptId
  readonly result: ResultCodeName
  /** Absent when the endpoint is not announced here. */
  readonly load?: LoadReport
}

/** Reports to the gateway that a dispatched attempt failed, unless its answer has already begun. @public */
export interface FailWork {
  readonly slice: 'admission'
  readonly type: 'failWork'
  readonly attemptId: AttemptId
  readonly result: ResultCodeName
  /** Boot id of the backend server if it crashed; such a request must not be retried automatically. */
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
