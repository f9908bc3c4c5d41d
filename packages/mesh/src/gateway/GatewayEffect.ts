import type { Address, Millis, RequestId, ResultName, RouteId, TeamId } from '@lavenderturn/types'
import type { ReservationId } from '../admission/ReservationId'

/** Sends the request to another node. @public */
export interface Forward {
  readonly slice: 'gateway'
  readonly type: 'forward'
  readonly requestId: RequestId
  readonly reservation: ReservationId
  readonly address: Address
  readonly route: RouteId
  readonly team?: TeamId
  readonly timeout: Millis
}

/** Asks another node once more for the answer of an attempt, on a new connection. @public */
export interface FetchAnswer {
  readonly slice: 'gateway'
  readonly type: 'fetchAnswer'
  readonly requestId: RequestId
  readonly reservation: ReservationId
  readonly address: Address
}

/** Drops an attempt: closes its connection. @public */
export interface DropAttempt {
  readonly slice: 'gateway'
  readonly type: 'dropAttempt'
  readonly requestId: RequestId
  readonly reservation: ReservationId
}

/** Gives the answer of an attempt to the caller. @public */
export interface Relay {
  readonly slice: 'gateway'
  readonly type: 'relay'
  readonly requestId: RequestId
  readonly reservation: ReservationId
}

/** Answers the caller with a result of this node's own. @public */
export interface Refuse {
  readonly slice: 'gateway'
  readonly type: 'refuse'
  readonly requestId: RequestId
  readonly result: ResultName
  /** When the caller may come back; only for results that say that the request has not run. */
  readonly retryAfter?: Millis
}

/** @public */
export type GatewayEffect = DropAttempt | FetchAnswer | Forward | Refuse | Relay
