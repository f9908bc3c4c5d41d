import type {
  Address, AttemptId, BootId, EndpointId, Fingerprint, Millis, RouteId, ServiceId, TeamId
} from '@lavenderturn/types'
import type { FailureReason } from '../gateway/GatewayEvent'
import type { LimitState } from './ConcurrencyLimit'
import type { RouteTiming } from './RouteTiming'
import type { TeamQueues } from './TeamQueues'

/** A backend server beside this node. @public */
export interface LocalServer {
  readonly endpoint: EndpointId
  readonly service: ServiceId
  address: Address
  slots: number
  bootId: BootId
  /** Whether the server came back after it died and its boot id is not known yet; `bootId` is made up until then. */
  bootUnsure: boolean
  state: 'serving' | 'draining'
  /** Whether the latest connection was accepted. */
  reachable: boolean
  /** While it is not reachable: when the next connection is tried. */
  probeAt: Millis
  /** When this life of the backend server began, as far as its admission knows. */
  startedAt: Millis
  /** Whether its service times are those of a server that has warmed up since its start. */
  warm: boolean
  inFlight: number
  /** Work that waits for a slot. */
  readonly queues: TeamQueues
  limit: LimitState
  /** Usual service time of each route that has run here. */
  readonly timings: Map<RouteId, RouteTiming>
  /** Work whose connection broke, until a probe tells whether the backend server died. */
  readonly broken: Map<AttemptId, Work>
}

/** One attempt that this admission handles. @public */
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
  /** Why the exchange broke, while a probe finds out whether the backend server died. */
  failure?: FailureReason
  /** Life of the backend server that it was dispatched to. */
  bootId?: BootId
  /** When the backend server had the whole body; its service time counts from here. */
  servedFrom?: Millis
  /** Whether it filled the concurrency limit when it was dispatched. */
  atLimit?: boolean
  /** Service time at which it was last counted as overdue. */
  overdueMs?: number
  readonly streamed: boolean
  /** Its gateway has dropped it; how it ends says nothing about the backend server. */
  cancelled?: boolean
}

/** @public */
export interface AdmissionState {
  readonly servers: Map<EndpointId, LocalServer>
  readonly work: Map<AttemptId, Work>
  /** Whether the document that was last handled has this node's data centre out. */
  dataCentreOut: boolean
}

/**
 * @returns the state of an admission without backend servers
 * @internal
 */
export function createAdmissionState (): AdmissionState {
  return { servers: new Map(), work: new Map(), dataCentreOut: false }
}
