import { type EndpointId, type Millis, millis, type NodeId, type PartitionId, type ServiceId } from '@lavenderturn/types'
import type { AssignmentEntry } from '../control/Assignment'
import type { ObservedLoad } from './findLoad'
import type { Observation } from './Observation'
import type { LearnedReference } from './ServiceReference'

/** First wait between an ejection and its trial. */
export const FIRST_TRIAL_DELAY = millis(2_000)

/** What the admission has decided about one backend server beside it. @public */
export interface LocalHealth {
  readonly service: ServiceId
  observation: Observation
  verdict: 'healthy' | 'sick'
  phase: 'serving' | 'ejected' | 'trial'
  /** Until when the permit allows the ejection; absent without a permit. */
  permitUntil?: Millis
  /** When a permit was last asked for. */
  askedAt?: Millis
  /** Whether the latest request for a permit has not been answered. */
  asking: boolean
  /** No permit is asked for before this time. */
  nextAskAt: Millis
  /** While ejected: when the trial begins. */
  trialAt: Millis
  /** Index of the trial's present step. */
  step: number
  stepSuccesses: number
  /** Wait before the trial of the next ejection. */
  trialDelay: Millis
  /** When the endpoint last returned from an ejection. */
  returnedAt: Millis
}

/** What this gateway has seen of the path to another node. @public */
export interface PathHealth {
  /** Failures since the last answer from the node. */
  failures: number
  /** Weighted time that exchanges take beyond the time in the admission. */
  overheadMs: number
  samples: number
  /** While `now` is before it, the path is avoided. */
  avoidUntil: Millis
  /** How long the path is avoided the next time. */
  avoidFor: Millis
}

/** Leave of a service's owner to eject an endpoint. @public */
export interface Permit {
  readonly endpoint: EndpointId
  readonly holder: NodeId
  /** By the holder's clock. */
  askedAt: Millis
  /** When the holder can no longer use it, by this node's clock. */
  expiresAt: Millis
}

/** Since when this node owns the services of a partition, as far as it knows. @public */
export interface PermitOffice {
  readonly entry: AssignmentEntry
  /** Before this time no permit is given: the former owner's permits may still be in use. */
  readonly opensAt: Millis
}

/** @public */
export interface HealthState {
  /** Latest report of each endpoint that this gateway has used. */
  readonly loads: Map<EndpointId, ObservedLoad>
  /** Attempts of this gateway that have not ended, by endpoint. */
  readonly outstanding: Map<EndpointId, number>
  readonly paths: Map<NodeId, PathHealth>
  /** What gateways have said of the other endpoints of the services that run beside this node. */
  readonly references: Map<ServiceId, LearnedReference>
  readonly local: Map<EndpointId, LocalHealth>
  /** Permits given by this node, as the owner of their services. */
  readonly permits: Map<ServiceId, Map<EndpointId, Permit>>
  readonly permitOffices: Map<PartitionId, PermitOffice>
  /** Whether the tick's timer runs. */
  ticking: boolean
}

/**
 * @returns the state of a node that has used no endpoint and has no backend server
 * @internal
 */
export function createHealthState (): HealthState {
  return {
    loads: new Map(),
    outstanding: new Map(),
    paths: new Map(),
    references: new Map(),
    local: new Map(),
    permits: new Map(),
    permitOffices: new Map(),
    ticking: false
  }
}
