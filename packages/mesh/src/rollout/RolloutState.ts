import {
  type DataCentreId, type Millis, millis, type NodeId, type RouteId, type ServerVersion, type ServiceId
} from '@lavenderturn/types'
import type { StoreEra } from '../configuration/StorePosition'
import type { RolloutOrder, RolloutPhase } from './RolloutOrder'
import type { RolloutRecord } from './RolloutRecord'
import type { RouteEvidence } from './RouteEvidence'

/** What a node knows of the roll-out of a service. @public */
export interface Rollout {
  order: RolloutOrder
  phase: RolloutPhase
  /** Whether the phase was learned from a record or a conductor. */
  isPhaseKnown: boolean
  /** When the phase was learned. */
  phaseSince: Millis
  /** Time at which the order was written, at the latest. */
  orderedAt: Millis
  /** Whether operators have taken the order back. */
  withdrawn: boolean
  /** Versions of earlier orders that were not completed. */
  readonly excluded: Set<ServerVersion>
  /** Position of the conductor's latest step, so that steps which arrive late are ignored. */
  term: number
  step: number
  /** When a step was last received. */
  stepAt: Millis
}

/** What has reached the backend server of this instance since an order, and what may. @public */
export interface Exposure {
  /** Requests passed on to the server. */
  dispatched: number
  /** Requests that may be passed on if the version is not proven. */
  allowance: number
  /** Until when the allowance holds. */
  validUntil: Millis
  readonly evidence: Map<RouteId, RouteEvidence>
}

/** A node's report as its conductor keeps it. @public */
export interface NodeReport {
  readonly node: NodeId
  readonly boot: string
  readonly dataCentre: DataCentreId
  readonly version: ServerVersion
  /** Whether the server accepts requests, apart from its version, and is neither cold nor suspect. */
  readonly ready: boolean
  readonly dispatched: number
  readonly running: number
  /** Time of the node's clock at which it was sent. */
  readonly sentAt: number
  readonly receivedAt: Millis
  readonly evidence: ReadonlyMap<RouteId, RouteEvidence>
}

/** Work of a node that conducts a roll-out, or watches its conductor. @public */
export interface Conduct {
  /** Row as it was last read or written; absent before the first reading. */
  stored?: { readonly record?: RolloutRecord, readonly version: number, readonly era: StoreEra }
  /** When the row was last seen to change. */
  changedAt: Millis
  readAt: Millis
  /** Write that the store has not responded to. */
  pending?: { readonly record: RolloutRecord, readonly since: Millis }
  writtenAt: Millis
  isConductor: boolean
  /** Since when; decisions wait for the first reports. */
  conductsSince: Millis
  /** Orders the steps of successive conductors. */
  term: number
  step: number
  /** Steps that were sent since the roll-out ended. */
  finalSteps: number
  /** Decision that the store has not acknowledged. */
  decision?: { readonly phase: RolloutPhase, readonly reason: string }
  /** Reports of each process, the latest last. */
  readonly reports: Map<NodeId, NodeReport[]>
  /** Requests passed on by processes that have ended. */
  readonly endedDispatches: Map<string, number>
  /** What the last judgement rests on, for operators. */
  evidence?: string
  /** When the first request reached the version. */
  canarySince?: Millis
  loggedAt: Millis
}

/** @public */
export interface RolloutState {
  /** Whether the orders of the operators are known. */
  ordersKnown: boolean
  /** Whether the records of roll-outs are known. */
  recordsKnown: boolean
  /** When the records were last read because they were not known. */
  readAt: Millis
  readonly rollouts: Map<ServiceId, Rollout>
  /** Of this instance's backend server. */
  exposure: Exposure
  readonly conducts: Map<ServiceId, Conduct>
  /** Whether the timer of the next check is set. */
  isChecking: boolean
}

/**
 * @returns the state of a node that knows of no roll-out
 * @internal
 */
export function createRolloutState (): RolloutState {
  return {
    ordersKnown: false,
    recordsKnown: false,
    readAt: millis(Number.NEGATIVE_INFINITY),
    rollouts: new Map(),
    exposure: createExposure(),
    conducts: new Map(),
    isChecking: false
  }
}

/**
 * @returns the exposure of a server that has got no request since the order
 * @internal
 */
export function createExposure (): Exposure {
  return { dispatched: 0, allowance: 0, validUntil: millis(0), evidence: new Map() }
}

/**
 * @param now - the steady time
 * @returns the work of a node that has not read the record
 * @internal
 */
export function createConduct (now: Millis): Conduct {
  return {
    changedAt: now,
    readAt: millis(Number.NEGATIVE_INFINITY),
    writtenAt: millis(Number.NEGATIVE_INFINITY),
    isConductor: false,
    conductsSince: now,
    term: 0,
    step: 0,
    finalSteps: 0,
    reports: new Map(),
    endedDispatches: new Map(),
    loggedAt: millis(0)
  }
}
