import type {
  Address, AttemptId, BootId, EndpointId, Fingerprint, Millis, RouteId, ServiceId, TeamId
} from '@lavenderturn/types'
import type { FailureReason } from '../gateway/GatewayEvent'
import type { LimitState } from './ConcurrencyLimit'
import type { RouteTiming } from './RouteTiming'
import type { TeamQueues } from './TeamQueues'

/** A backend server of this node. @public */
export interface LocalServer {
  readonly endpoint: EndpointId
  readonly service: ServiceId
  address: Address
  slots: number
  bootId: BootId
  /** Whether the server has returned after a crash and not yet reported its boot id; `bootId` is a placeholder then. */
  bootIdProvisional: boolean
  state: 'serving' | 'draining'
  /** Whether the server accepted the latest connection. */
  reachable: boolean
  /** When the next connection is attempted while the server is not reachable. */
  probeAt: Millis
  /** When the backend server last started, as far as this node knows. */
  startedAt: Millis
  /** Whether the server has warmed up since its start, judged by its service times. */
  warm: boolean
  inFlight: number
  /** Work that waits for a slot. */
  readonly queues: TeamQueues
  limit: LimitState
  /** Typical service time of each route that has run here. */
  readonly timings: Map<RouteId, RouteTiming>
  /** Work whose connection broke, until a probe shows whether the backend server crashed. */
  readonly broken: Map<AttemptId, Work>
}

/** One attempt that is queued or dispatched at this node. @public */
export interface Work {
  readonly attemptId: AttemptId
  readonly endpoint: EndpointId
  readonly route: RouteId
  /** Absent on open routes. */
  readonly team?: TeamId
  readonly fingerprint: Fingerprint
  readonly arrivedAt: Millis
  readonly deadline: Millis
  phase: 'queued' | 'dispatched'
  dispatchedAt?: Millis
  /** Why the exchange broke; set while a probe checks whether the backend server crashed. */
  failure?: FailureReason
  /** Boot id that the backend server had when the work was dispatched. */
  bootId?: BootId
  /** When the whole body had been sent to the backend server. The service time is measured from here. */
  serviceStartedAt?: Millis
  /** Whether the concurrency limit was reached when the work was dispatched. */
  atLimit?: boolean
  /** Elapsed service time when the work was last counted as overdue. */
  overdueMs?: number
  readonly streamed: boolean
  /** Whether the gateway has cancelled it; how it ends is then no evidence about the backend server. */
  cancelled?: boolean
}

/** @public */
export interface AdmissionState {
  readonly servers: Map<EndpointId, LocalServer>
  readonly work: Map<AttemptId, Work>
  /** Whether this node's data centre was taken out in the control document handled last. */
  dataCentreOut: boolean
}

/**
 * @returns the initial state, without backend servers
 * @internal
 */
export function createAdmissionState (): AdmissionState {
  return { servers: new Map(), work: new Map(), dataCentreOut: false }
}
