import type { Address, Millis, RequestId, ResultCodeName, RouteId, TeamId } from '@lavenderturn/types'
import type { ReservationId } from '../admission/ReservationId'

/** Forwards the request to another node. @public */
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

/** Opens a new connection to the node that runs an attempt and requests its answer again. @public */
export interface FetchAnswer {
  readonly slice: 'gateway'
  readonly type: 'fetchAnswer'
  readonly requestId: RequestId
  readonly reservation: ReservationId
  readonly address: Address
}

/** Abandons an attempt and closes its connection. @public */
export interface DropAttempt {
  readonly slice: 'gateway'
  readonly type: 'dropAttempt'
  readonly requestId: RequestId
  readonly reservation: ReservationId
}

/** Relays the answer of an attempt to the caller. @public */
export interface Relay {
  readonly slice: 'gateway'
  readonly type: 'relay'
  readonly requestId: RequestId
  readonly reservation: ReservationId
}

/** Answers the caller with a result that this node produced itself. @public */
export interface Refuse {
  readonly slice: 'gateway'
  readonly type: 'refuse'
  readonly requestId: RequestId
  readonly result: ResultCodeName
  /** When the caller may retry. Only set for results which state that the request did not run. */
  readonly retryAfter?: Millis
}

/** @public */
export type GatewayEffect = DropAttempt | FetchAnswer | Forward | Refuse | Relay
