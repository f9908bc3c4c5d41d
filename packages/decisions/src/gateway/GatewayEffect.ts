import type {
  Address, AttemptId, EndpointId, Fingerprint, Millis, NodeId, RequestId, ResultName, RouteId, RunState, ServiceId,
  TeamId
} from '@lavenderturn/types'
import type { ServiceReference } from '../health/ServiceReference'

/** Sends the request to the admission of a node. @public */
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
  /** Time left until the deadline. */
  readonly timeout: Millis
  readonly bodyLimitBytes: number
  /** What this gateway sees of the service's other endpoints, for the admission to compare with. */
  readonly reference?: ServiceReference
}

/** Drops an attempt; its connection is not used again. @public */
export interface CancelForward {
  readonly slice: 'gateway'
  readonly type: 'cancelForward'
  readonly requestId: RequestId
  readonly attemptId: AttemptId
}

/** Sends the attempt's answer to the caller. @public */
export interface Relay {
  readonly slice: 'gateway'
  readonly type: 'relay'
  readonly requestId: RequestId
  readonly attemptId: AttemptId
}

/** Answers the caller with problem details. @public */
export interface Refuse {
  readonly slice: 'gateway'
  readonly type: 'refuse'
  readonly requestId: RequestId
  readonly result: ResultName
  readonly run: RunState
  readonly detail?: string
}

/** @public */
export type GatewayEffect = CancelForward | Forward | Refuse | Relay
