import type {
  Address, AttemptId, BootId, EndpointId, Fingerprint, Millis, RouteId, ServiceId, TeamId
} from '@lavenderturn/types'

/** A backend server beside this node. @public */
export interface LocalServer {
  readonly endpoint: EndpointId
  readonly service: ServiceId
  readonly address: Address
  readonly slots: number
  bootId: BootId
  state: 'serving' | 'draining'
  inFlight: number
  /** Work that waits for a slot, oldest first. */
  readonly queue: Work[]
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
}

/** @public */
export interface AdmissionState {
  readonly servers: Map<EndpointId, LocalServer>
  readonly work: Map<AttemptId, Work>
}

/**
 * @returns the state of an admission without backend servers
 * @internal
 */
export function createAdmissionState (): AdmissionState {
  return { servers: new Map(), work: new Map() }
}
