import { type Address, type EndpointId, type Fingerprint, type Millis, millis, type RouteId } from '@lavenderturn/types'
import { createGrayFailureState, type GrayFailureState } from './GrayFailureDetector'
import type { ReservationId } from './ReservationId'

/** The backend server of this instance. @public */
export interface LocalServer {
  readonly endpoint: EndpointId
  readonly address: Address
  slots: number
  state: 'ready' | 'draining' | 'gone'
  /** Time of day at which this life of the backend server began; orders announcements of several lives. */
  readonly startedAt: number
  /** Number of its latest announcement. */
  seq: number
  lastAnnouncedAt: Millis
  /** Until when it is cold. */
  coldUntil: Millis
  /** Whether it may be connected to; a refused connection ends this until the next announcement. */
  reachable: boolean
}

/** @public */
export interface Reservation {
  readonly id: ReservationId
  /** Where the gateway gets its datagrams. */
  readonly gateway: Address
  readonly priority: number
  readonly repeatable: boolean
  readonly canRetry: boolean
  readonly acceptSuspect: boolean
  readonly askedAt: Millis
  /** When the gateway stops waiting for the slot. */
  readonly expiresAt: Millis
  /** `void`: the slot was given up before any request used it, and none ever will. */
  phase: 'queued' | 'granted' | 'running' | 'done' | 'void'
  /** Whether it tries out a suspect server. */
  isTrial: boolean
  work?: Work
}

/** The request that uses a reservation. @public */
export interface Work {
  /** The caller's id of the request, for logs. */
  readonly callerRequestId: string
  readonly route: RouteId
  readonly fingerprint: Fingerprint
  readonly startedAt: Millis
}

/** A request whose connection broke while the backend server may have crashed. @public */
export interface BrokenRun {
  readonly fingerprint: Fingerprint
  readonly at: Millis
}

/** @public */
export interface AdmissionState {
  /** Absent until the backend server has announced itself to this process. */
  server?: LocalServer
  readonly grayFailure: GrayFailureState
  /** All reservations by id, in the order in which they were asked for. */
  readonly reservations: Map<ReservationId, Reservation>
  /** When requests were sent to the backend server, within the last second. */
  readonly dispatchTimes: Millis[]
  /** Usual service time of each route, in milliseconds. */
  readonly routeTimes: Map<RouteId, number>
  /** Mean service time of all requests in milliseconds; 0 before the first. */
  serviceMs: number
  /** Share of recent results that were errors of the server's own. */
  errorRate: number
  /** Since when requests have been sent to the server without a pause in which it could have restarted unnoticed. */
  busySince: Millis
  /** When the server last answered a request without a failure. */
  lastSuccessAt: Millis
  /** When something last happened after which the server may be cold without having said so. */
  lastDisruptionAt: Millis
  /** When a call that the server makes itself last failed. */
  lastCallFailureAt?: Millis
  /** Latest runs that broke off; a crash that shows later is put down to them. */
  readonly brokenRuns: BrokenRun[]
  /** Until when no trial of a suspect server starts. */
  nextTrialAt: Millis
  /** Trials in a row that failed. */
  consecutiveFailedTrials: number
}

/**
 * @returns the state of an admission that knows no backend server
 * @internal
 */
export function createAdmissionState (): AdmissionState {
  return {
    grayFailure: createGrayFailureState(),
    reservations: new Map(),
    dispatchTimes: [],
    routeTimes: new Map(),
    serviceMs: 0,
    errorRate: 0,
    busySince: millis(0),
    lastSuccessAt: millis(0),
    lastDisruptionAt: millis(0),
    brokenRuns: [],
    nextTrialAt: millis(0),
    consecutiveFailedTrials: 0
  }
}
