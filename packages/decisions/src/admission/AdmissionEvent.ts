import type {
  Address, AttemptId, BootId, EndpointId, Fingerprint, Millis, RouteId, ServiceId, TeamId
} from '@lavenderturn/types'
import type { FailureReason } from '../gateway/GatewayEvent'
import type { ServiceReference } from '../health/ServiceReference'
import type { EventBase } from '../NodeEvent'

/** A gateway forwarded a request to a backend server beside this node. @public */
export interface WorkArrived extends EventBase {
  readonly slice: 'admission'
  readonly type: 'workArrived'
  readonly attemptId: AttemptId
  readonly endpoint: EndpointId
  readonly route: RouteId
  readonly team?: TeamId
  readonly fingerprint: Fingerprint
  /** Time left until the deadline of the request. */
  readonly timeout: Millis
  /** Whether part of the body is still to come; `bodySent` follows once the backend server has all of it. */
  readonly streamed?: boolean
  /** What the gateway sees of the service's other endpoints. */
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
  /** The backend server shed the request and states that it did not run it. */
  | { readonly kind: 'shed' }
  | { readonly kind: 'failed', readonly reason: FailureReason, readonly sent: boolean }

/** The exchange of an attempt with its backend server is over. @public */
export interface WorkEnded extends EventBase {
  readonly slice: 'admission'
  readonly type: 'workEnded'
  readonly attemptId: AttemptId
  readonly outcome: WorkOutcome
}

/** The gateway dropped an attempt. @public */
export interface WorkCancelled extends EventBase {
  readonly slice: 'admission'
  readonly type: 'workCancelled'
  readonly attemptId: AttemptId
}

/** The deadline of an attempt passed while it was queued. @public */
export interface QueueDeadlinePassed extends EventBase {
  readonly slice: 'admission'
  readonly type: 'queueDeadlinePassed'
  readonly attemptId: AttemptId
}

/** A backend server beside this node announced itself, or announced a change. @public */
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

/** A backend server is gone: it said so, or its announcements stopped. @public */
export interface ServerWithdrawn extends EventBase {
  readonly slice: 'admission'
  readonly type: 'serverWithdrawn'
  readonly endpoint: EndpointId
}

/** A fresh connection to a backend server was tried after a failure. @public */
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
