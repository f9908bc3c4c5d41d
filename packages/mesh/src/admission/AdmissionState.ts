import { type Address, type EndpointId, type Fingerprint, type Millis, millis, type RouteId, type ServerVersion } from '@lavenderturn/types'
import type { AnnouncementId } from './AnnouncementId'
import type { Departure } from './Departure'
import { createGrayFailureState, type GrayFailureState } from './GrayFailureDetector'
import type { ReservationId } from './ReservationId'

/** The backend server of this instance. @public */
export interface LocalServer {
  readonly endpoint: EndpointId
  readonly address: Address
  readonly version: ServerVersion
  /** When it replaced a server of another version at this node; absent if this process knows of none. */
  readonly versionChangedAt?: Millis
  slots: number
  state: 'ready' | 'draining' | 'gone'
  /**
   * Time of day at which this incarnation of the server started. Orders the announcements of different incarnations.
   */
  readonly startedAt: number
  /** Sequence number of the latest announcement. */
  seq: number
  lastAnnouncedAt: Millis
  /** When the server stops being cold. */
  coldUntil: Millis
  /** Whether connections may be attempted. A refused connection clears this until the next announcement. */
  reachable: boolean
  /** Requests per second that it takes, as its latest response said; absent without a limit. */
  requestLimit?: number
  /** When the next request is due by that limit. */
  nextRequestAt: Millis
  /**
   * Whether this process knows if the server has a limit: it has received a response, or no earlier process can have
   * received one.
   */
  isLimitKnown: boolean
}

/** @public */
export interface Reservation {
  readonly id: ReservationId
  /** Address for datagrams to the gateway. */
  readonly gateway: Address
  readonly priority: number
  readonly repeatable: boolean
  readonly canRetry: boolean
  readonly acceptSuspect: boolean
  /** Whether the process of the gateway ends soon, and with it the time that the request has to run. */
  readonly gatewayStops: boolean
  readonly askedAt: Millis
  /** When the gateway stops waiting for the slot. */
  readonly expiresAt: Millis
  /** `void`: the slot was given up before a request used it, and no request ever will. */
  phase: 'queued' | 'granted' | 'running' | 'done' | 'void'
  /** Whether it was granted as a trial of a suspect server. */
  isTrial: boolean
  work?: Work
}

/** The request that runs under a reservation. @public */
export interface Work {
  /** Request id supplied by the caller, for logs. */
  readonly callerRequestId: string
  readonly route: RouteId
  readonly fingerprint: Fingerprint
  /** The server that runs it, as it was when the request was sent. */
  readonly server: LocalServer
  readonly startedAt: Millis
  /** Whether the server was cold then. */
  readonly isColdStart: boolean
  /** When the request's time is over. */
  readonly deadline: Millis
  /** Whether the request was sent to the server a second time, because its kept connection broke. */
  isRepeated: boolean
}

/** A run whose connection was reset, possibly by a crash of the backend server. @public */
export interface BrokenRun {
  readonly fingerprint: Fingerprint
  readonly at: Millis
}

/** The current period in which the backend server is suspect, for logs. @public */
export interface Suspicion {
  readonly since: Millis
  /** Slots granted since then. */
  trials: number
  lastTrialAt: Millis
  /** Longest time without a trial. */
  longestGapMs: number
}

/** @public */
export interface AdmissionState {
  /** Absent until the backend server has announced itself to this process. */
  server?: LocalServer
  /** Latest departure of a backend server of this instance. */
  departure?: Departure
  /** Whether the registry holds `departure`, so that later processes of this node know it. */
  isDepartureRecorded: boolean
  /** Calls that report `departure` and wait until it is recorded. */
  readonly unacknowledgedCalls: AnnouncementId[]
  readonly grayFailure: GrayFailureState
  /** Absent while the server is sound. */
  suspicion?: Suspicion
  /** All reservations by id, in order of arrival. */
  readonly reservations: Map<ReservationId, Reservation>
  /** Dispatch times within the last second. */
  readonly dispatchTimes: Millis[]
  /** When a request was last dispatched to the server. */
  lastDispatchAt: Millis
  /** Slot requests that were refused since then. */
  refusedSinceDispatch: number
  /** Moving average of the service time of each route in milliseconds. */
  readonly routeTimes: Map<RouteId, number>
  /** Moving average of the service time of all requests in milliseconds; 0 before the first. */
  serviceMs: number
  /** Moving average of the share of results that were the server's own errors. */
  errorRate: number
  /** Start of the period in which requests were dispatched without a pause long enough for an unnoticed restart. */
  busySince: Millis
  /** When the server last answered a request successfully. */
  lastSuccessAt: Millis
  /** Latest event after which the server may be cold without having announced it. */
  lastDisruptionAt: Millis
  /** When a call made by the server itself last failed. */
  lastCallFailureAt?: Millis
  /** Most recent broken runs. A crash detected later is attributed to them. */
  readonly brokenRuns: BrokenRun[]
  /** Earliest time of the next trial of a suspect server. */
  nextTrialAt: Millis
  /** Consecutive failed or overdue requests. Determines the delay before the next trial. */
  consecutiveFailures: number
  /** Responses that are passed on while they are read; their work has ended. */
  openStreams: number
}

/**
 * @returns the state of an admission without a backend server
 * @internal
 */
export function createAdmissionState (): AdmissionState {
  return {
    isDepartureRecorded: false,
    unacknowledgedCalls: [],
    grayFailure: createGrayFailureState(),
    reservations: new Map(),
    dispatchTimes: [],
    lastDispatchAt: millis(0),
    refusedSinceDispatch: 0,
    routeTimes: new Map(),
    serviceMs: 0,
    errorRate: 0,
    busySince: millis(0),
    lastSuccessAt: millis(0),
    lastDisruptionAt: millis(0),
    brokenRuns: [],
    nextTrialAt: millis(0),
    consecutiveFailures: 0,
    openStreams: 0
  }
}
