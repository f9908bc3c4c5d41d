import type {
  Address, AttemptId, BootId, EndpointId, Fingerprint, Millis, RouteId, ServiceId, TeamId
} from '@lavenderturn/types'
import type { FailureReason } from '../gateway/GatewayEvent'
import type { ServiceReference } from '../health/ServiceReference'
import type { EventBase } from '../NodeEvent'

/** A gateway forwarded a request to a backend server of this node. @public */
export interface WorkArrived extends EventBase {
  readonly slice: 'admission'
  readonly type: 'workArrived'
  readonly attemptId: AttemptId
  readonly endpoint: EndpointId
  readonly route: RouteId
  readonly team?: TeamId
  readonly fingerprint: Fingerprint
  /** Remaining time until the deadline of the request. */
  readonly timeout: Millis
  /** Whether the body is still being received; `bodySent` follows when the backend server has been sent all of it. */
  readonly streamed?: boolean
  /** Typical figures of the service's other endpoints, as seen by the gateway. */
  readonly reference?: ServiceReference
}

/** The whole body of an attempt has been sent to its backend server. @public */
export interface BodySent extends EventBase {
  readonly slice: 'admission'
  readonly type: 'bodySent'
  readonly attemptId: AttemptId
}

/** How a dispatched attempt ended. @public */
export type WorkOutcome =
  | { readonly kind: 'answered', readonly status: number, readonly bootId?: BootId }
  /** The backend server shed the request and reported that it did not run it. */
  | { readonly kind: 'shed' }
  | { readonly kind: 'failed', readonly reason: FailureReason, readonly sent: boolean }

/** The exchange of an attempt with its backend server has ended. @public */
export interface WorkEnded extends EventBase {
  readonly slice: 'admission'
  readonly type: 'workEnded'
  readonly attemptId: AttemptId
  readonly outcome: WorkOutcome
}

/** The gateway cancelled an attempt. @public */
export interface WorkCancelled extends EventBase {
  readonly slice: 'admission'
  readonly type: 'workCancelled'
  readonly attemptId: AttemptId
}

/** An attempt reached its deadline or `MAX_QUEUE_AGE` while it was queued. @public */
export interface QueueDeadlinePassed extends EventBase {
  readonly slice: 'admission'
  readonly type: 'queueDeadlinePassed'
  readonly attemptId: AttemptId
}

/** A backend server of this node announced itself or a change of its announcement. @public */
export interface ServerAnnounced extends EventBase {
  readonly slice: 'admission'
  readonly type: 'serverAnnounced'
  readonly endpoint: EndpointId
  readonly service: ServiceId
  readonly address: Address
  readonly slots: number
  readonly bootId: BootId
  readonly state: 'serving' | 'draining'
}

/** A backend server withdrew its announcement, or its announcements stopped. @public */
export interface ServerWithdrawn extends EventBase {
  readonly slice: 'admission'
  readonly type: 'serverWithdrawn'
  readonly endpoint: EndpointId
}

/** A new connection to a backend server was attempted after a failure. @public */
export interface ServerProbed extends EventBase {
  readonly slice: 'admission'
  readonly type: 'serverProbed'
  readonly endpoint: EndpointId
  /** Whether the connection was accepted. */
  readonly accepted: boolean
}

/** @public */
export type AdmissionEvent =
  | BodySent
  | QueueDeadlinePassed
  | ServerAnnounced
  | ServerProbed
  | ServerWithdrawn
  | WorkArrived
  | WorkCancelled
  | WorkEnded
