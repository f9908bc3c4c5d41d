import type {
  Address, AttemptId, BootId, EndpointId, Fingerprint, Millis, RouteId, ServiceId, TeamId
} from '@lavenderturn/types'
import type { FailureReason } from '../gateway/GatewayEvent'
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
}

/** What became of a backend server's process after an exchange with it broke off. @public */
export type ServerProcess = 'died' | 'alive' | 'unknown'

/** How a dispatched attempt ended. @public */
export type WorkOutcome =
  | { readonly kind: 'answered', readonly status: number, readonly bootId?: BootId }
  /** The backend server shed the request and states that it did not run it. */
  | { readonly kind: 'shed' }
  | {
    readonly kind: 'failed',
    readonly reason: FailureReason,
    readonly sent: boolean,
    /** Found by a reconnect after a reset or a truncated answer. */
    readonly process?: ServerProcess,
    /** Life of the process that answered the reconnect. */
    readonly bootId?: BootId
  }

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

/** @public */
export type AdmissionEvent =
  | QueueDeadlinePassed
  | ServerAnnounced
  | ServerWithdrawn
  | WorkArrived
  | WorkCancelled
  | WorkEnded
