import type { Address, EndpointId, Fingerprint, Millis, RouteId, ServerVersion, ServiceId } from '@lavenderturn/types'
import type { EventBase } from '../MeshEvent'
import type { AskSlotMessage, CrashMessage } from '../messages/PeerMessage'
import type { AnnouncementId } from './AnnouncementId'
import type { Departure } from './Departure'
import type { ReservationId } from './ReservationId'

interface AdmissionEventBase extends EventBase {
  readonly slice: 'admission'
}

/** State that a backend server announces about itself. @public */
export interface Announcement {
  readonly endpoint: EndpointId
  readonly service: ServiceId
  readonly address: Address
  readonly version: ServerVersion
  readonly slots: number
  readonly state: 'ready' | 'draining'
  /** Time of day in milliseconds at which this incarnation of the server started. */
  readonly startedAt: number
  /** Increases with each announcement of an incarnation. */
  readonly seq: number
  /** Time for which the server stays cold. */
  readonly coldRemaining: Millis
}

/** The backend server of this instance announced itself. @public */
export interface ServerAnnounced extends AdmissionEventBase {
  readonly type: 'serverAnnounced'
  readonly announcement: Announcement
  /** Absent if the server waits for no response. */
  readonly call?: AnnouncementId
}

/** The backend server of this instance announced that it is shutting down. @public */
export interface ServerWithdrawn extends AdmissionEventBase {
  readonly type: 'serverWithdrawn'
  readonly endpoint: EndpointId
  /** Absent if the server did not state which incarnation is ending. */
  readonly startedAt?: number
  /** Absent if the server waits for no response. */
  readonly call?: AnnouncementId
}

/** The registry holds the record of a departure. @public */
export interface DepartureRecorded extends AdmissionEventBase {
  readonly type: 'departureRecorded'
  readonly departure: Departure
}

/** The registry did not confirm the record of a departure. @public */
export interface DepartureNotRecorded extends AdmissionEventBase {
  readonly type: 'departureNotRecorded'
  readonly departure: Departure
  /** Error of the call, for logs. */
  readonly reason: string
}

/** Timer: writes the record of a departure again. @public */
export interface DepartureDue extends AdmissionEventBase {
  readonly type: 'departureDue'
}

/** A gateway requested a slot. @public */
export interface SlotAsked extends AdmissionEventBase {
  readonly type: 'slotAsked'
  readonly message: AskSlotMessage
}

/** A gateway released a reservation. @public */
export interface SlotReleased extends AdmissionEventBase {
  readonly type: 'slotReleased'
  readonly reservation: ReservationId
}

/** A granted reservation was not used in time. @public */
export interface GrantExpired extends AdmissionEventBase {
  readonly type: 'grantExpired'
  readonly reservation: ReservationId
}

/** Timer: a cold server may accept queued reservations again. @public */
export interface QueueDue extends AdmissionEventBase {
  readonly type: 'queueDue'
}

/** The head of a reservation's request was received; the body follows. @public */
export interface WorkArriving extends AdmissionEventBase {
  readonly type: 'workArriving'
  readonly reservation: ReservationId
}

/** The complete request of a reservation was received. @public */
export interface WorkArrived extends AdmissionEventBase {
  readonly type: 'workArrived'
  readonly reservation: ReservationId
  /** Request id supplied by the caller, for logs. */
  readonly callerRequestId: string
  readonly route: RouteId
  readonly fingerprint: Fingerprint
  /** Time left until the request's deadline. */
  readonly timeout: Millis
}

/** Timer: the work has run several times longer than its route usually takes. @public */
export interface WorkOverdue extends AdmissionEventBase {
  readonly type: 'workOverdue'
  readonly reservation: ReservationId
}

/**
 * Why a request that was sent got no usable answer. `staleConnection`: a kept connection broke without a response, as
 * it does when the server had closed it. `oversized`: its response exceeded a limit.
 *
 * @public
 */
export type BrokenReason = 'reset' | 'staleConnection' | 'truncated' | 'oversized' | 'foreign' | 'timeout'

/** How an exchange with the backend server ended. @public */
export type WorkOutcome =
  /** A complete answer was received. `failed`: the answer is an error. `status`: its HTTP status, for logs. */
  | { readonly kind: 'answered', readonly failed: boolean, readonly status?: number }
  /**
   * The server states that it did not run the request, or the request cannot be sent. `misdirected`: the address now
   * belongs to another server.
   */
  | { readonly kind: 'declined', readonly misdirected: boolean }
  /** The connection failed and nothing was sent. */
  | { readonly kind: 'unreachable' }
  /** The request was sent, but no usable answer was received. */
  | { readonly kind: 'broken', readonly reason: BrokenReason }
  /** This node aborted the exchange. */
  | { readonly kind: 'aborted' }

/** What a backend server says about itself in a response. @public */
export interface ServerNotice {
  /** Whether it is shutting down. */
  readonly leaving: boolean
  /** Requests per second that it takes from all nodes together; absent if it names no limit. */
  readonly requestLimit?: number
}

/** @public */
export interface WorkEnded extends AdmissionEventBase {
  readonly type: 'workEnded'
  readonly reservation: ReservationId
  readonly outcome: WorkOutcome
  /** Absent without a response of the server. */
  readonly notice?: ServerNotice
}

/** A response that needs much memory is passed on while it is read. Its work has ended. @public */
export interface StreamOpened extends AdmissionEventBase {
  readonly type: 'streamOpened'
  readonly reservation: ReservationId
}

/** Such a response was passed on, or ended before. @public */
export interface StreamClosed extends AdmissionEventBase {
  readonly type: 'streamClosed'
  readonly reservation: ReservationId
  readonly callerRequestId: string
  /** Whether the server broke the response off. */
  readonly isBroken: boolean
}

/** The gateway cancelled the work. @public */
export interface WorkCancelled extends AdmissionEventBase {
  readonly type: 'workCancelled'
  readonly reservation: ReservationId
}

/** The connection to the gateway was lost. The gateway may reconnect for the answer. @public */
export interface WorkDetached extends AdmissionEventBase {
  readonly type: 'workDetached'
  readonly reservation: ReservationId
}

/** The gateway reconnected for the answer. @public */
export interface WorkAttached extends AdmissionEventBase {
  readonly type: 'workAttached'
  readonly reservation: ReservationId
}

/** A gateway requested the state of an attempt. @public */
export interface WorkRecalled extends AdmissionEventBase {
  readonly type: 'workRecalled'
  readonly reservation: ReservationId
  readonly replyTo: Address
}

/** Timer: the retention time of a reservation's result is over. @public */
export interface ResultExpired extends AdmissionEventBase {
  readonly type: 'resultExpired'
  readonly reservation: ReservationId
}

/** The backend server closed an idle connection, so it may have restarted. @public */
export interface ConnectionLost extends AdmissionEventBase {
  readonly type: 'connectionLost'
}

/** Another node detected a crash of a backend server. @public */
export interface CrashReported extends AdmissionEventBase {
  readonly type: 'crashReported'
  readonly message: CrashMessage
}

/** @public */
export type AdmissionEvent =
  | ConnectionLost
  | CrashReported
  | DepartureDue
  | DepartureNotRecorded
  | DepartureRecorded
  | GrantExpired
  | QueueDue
  | ResultExpired
  | ServerAnnounced
  | ServerWithdrawn
  | SlotAsked
  | SlotReleased
  | StreamClosed
  | StreamOpened
  | WorkArrived
  | WorkArriving
  | WorkAttached
  | WorkCancelled
  | WorkDetached
  | WorkEnded
  | WorkOverdue
  | WorkRecalled
