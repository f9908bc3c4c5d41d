import type {
  Address, AttemptId, EndpointId, ExecutionState, Fingerprint, Millis, NodeId, RequestId, ResultCodeName, RouteId,
  ServiceId, TeamId
} from '@lavenderturn/types'
import type { ServiceReference } from '../health/ServiceReference'

/** Forwards an attempt of a request to the admission of the endpoint's node. @public */
export interface Forward {
  readonly slice: 'gateway'
  readonly type: 'forward'
  readonly requestId: RequestId
  readonly attemptId: AttemptId
  readonly node: NodeId
  readonly address: Address
  readonly endpoint: EndpointId
  readonly service: ServiceId
  readonly route: RouteId
  /** Absent on open routes. */
  readonly team?: TeamId
  readonly fingerprint: Fingerprint
  /** Time remaining until the request's deadline. */
  readonly timeout: Millis
  readonly bodyLimitBytes: number
  /** Usual latency and error rate of the service's other endpoints as this gateway sees them, for outlier detection. */
  readonly reference?: ServiceReference
}

/** Cancels an attempt; its connection is not reused. @public */
export interface CancelForward {
  readonly slice: 'gateway'
  readonly type: 'cancelForward'
  readonly requestId: RequestId
  readonly attemptId: AttemptId
}

/** Relays the attempt's response to the caller. @public */
export interface Relay {
  readonly slice: 'gateway'
  readonly type: 'relay'
  readonly requestId: RequestId
  readonly attemptId: AttemptId
}

/** Responds to the caller with problem details. @public */
export interface Refuse {
  readonly slice: 'gateway'
  readonly type: 'refuse'
  readonly requestId: RequestId
  readonly result: ResultCodeName
  readonly run: ExecutionState
  readonly detail?: string
}

/** @public */
export type GatewayEffect = CancelForward | Forward | Refuse | Relay
