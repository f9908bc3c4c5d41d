import { type EndpointId, type Millis, millis, type NodeId, type PartitionId, type ServiceId } from '@lavenderturn/types'
import type { AssignmentEntry } from '../control/Assignment'
import type { ObservedLoad } from './findLoad'
import type { Observation } from './Observation'
import type { ReferenceAverage } from './ServiceReference'

/**
 * Delay between a server's first ejection and its trial, and time for which a path is avoided at first. Both double
 * with each repetition.
 */
export const INITIAL_TRIAL_DELAY = millis(2_000)

/** Health of one local backend server, as decided by its admission. @public */
export interface LocalHealth {
  readonly service: ServiceId
  observation: Observation
  verdict: 'healthy' | 'sick'
  phase: 'serving' | 'ejected' | 'trial'
  /** When the ejection permit expires; absent without a permit. */
  permitExpiresAt?: Millis
  /** Time of the latest permit request. */
  askedAt?: Millis
  /** Whether the latest permit request is unanswered. */
  permitRequestPending: boolean
  /** Earliest time of the next permit request. */
  nextPermitRequestAt: Millis
  /** While ejected: start time of the trial. */
  trialAt: Millis
  /** Index of the current step in `TRIAL_STEPS`. */
  trialStep: number
  /** Consecutive successes in the current step. */
  stepSuccesses: number
  /** Delay before the trial of the next ejection. */
  trialDelay: Millis
  /** When the server last returned to service after an ejection. */
  returnedAt: Millis
}

/** Health of the network path from this gateway to another node. @public */
export interface PathHealth {
  /** Failures since the node last replied; a conclusive one counts as several. */
  consecutiveFailures: number
  /** Moving average of the time that an exchange takes in addition to the time in the admission. */
  overheadMs: number
  samples: number
  /** The path is avoided until this time. */
  avoidUntil: Millis
  /** How long the path will be avoided the next time. */
  avoidFor: Millis
}

/** Permission from the owner of a service to eject an endpoint. @public */
export interface Permit {
  readonly endpoint: EndpointId
  readonly holder: NodeId
  /** Time of the request on the holder's clock. */
  askedAt: Millis
  /** Time on the owner's clock at which the holder has certainly stopped using the permit. */
  expiresAt: Millis
}

/** This node's ownership of a partition, which lets it grant permits for the services in the partition. @public */
export interface PermitOwnership {
  readonly entry: AssignmentEntry
  /** Earliest time to grant permits, because permits of the previous owner may be in use until then. */
  readonly grantsFrom: Millis
}

/** @public */
export interface HealthState {
  /** Latest load report of each endpoint that this gateway has used. */
  readonly loads: Map<EndpointId, ObservedLoad>
  /** Number of attempts of this gateway in progress, by endpoint. */
  readonly outstanding: Map<EndpointId, number>
  readonly paths: Map<NodeId, PathHealth>
  /** Reference values received from gateways, for the services of the local backend servers. */
  readonly references: Map<ServiceId, ReferenceAverage>
  /** Health of the local backend servers. */
  readonly localServers: Map<EndpointId, LocalHealth>
  /** Permits granted by this node as the owner of the services. */
  readonly permits: Map<ServiceId, Map<EndpointId, Permit>>
  readonly permitOwnerships: Map<PartitionId, PermitOwnership>
  /** Whether the tick timer is running. */
  ticking: boolean
}

/**
 * @returns the initial state of the health slice
 * @internal
 */
export function createHealthState (): HealthState {
  return {
    loads: new Map(),
    outstanding: new Map(),
    paths: new Map(),
    references: new Map(),
    localServers: new Map(),
    permits: new Map(),
    permitOwnerships: new Map(),
    ticking: false
  }
}
