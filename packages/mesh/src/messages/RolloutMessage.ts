import type { Address, Millis, NodeId, RouteId, ServerVersion, ServiceId } from '@lavenderturn/types'
import type { StoreEra } from '../configuration/StorePosition'
import type { RolloutPhase } from '../rollout/RolloutOrder'

/** Tells a node of a service the step of a roll-out, and asks for its results. @public */
export interface RolloutStepMessage {
  readonly kind: 'rolloutStep'
  readonly replyTo: Address
  readonly service: ServiceId
  readonly to: ServerVersion
  readonly duration: Millis
  /** Position of the order in the store. */
  readonly era: StoreEra
  readonly version: number
  readonly phase: RolloutPhase
  /** Version of the row by which the sender conducts the roll-out. */
  readonly term: number
  /** Increases with each message of the sender. */
  readonly step: number
  /** Requests that the receiver may pass on to a server of the version. */
  readonly allowance: number
  /** `sentAt` of the receiver's latest report; 0 if none has arrived. */
  readonly echo: number
}

/** Counts of one route: failed, answered by service time, running by time so far. @public */
export type RouteCounts = readonly [
  route: RouteId, failed: number, times: readonly number[], running: readonly number[]
]

/** Replies to `rolloutStep`. Counts begin with the order. @public */
export interface RolloutEvidenceMessage {
  readonly kind: 'rolloutEvidence'
  readonly node: NodeId
  readonly boot: string
  readonly service: ServiceId
  /** Step that this replies to. */
  readonly term: number
  readonly version: ServerVersion
  readonly ready: boolean
  readonly dispatched: number
  readonly running: number
  /** Steady time of the sender. */
  readonly sentAt: number
  readonly routes: readonly RouteCounts[]
}

/** A roll-out as nodes that follow the store tell it to the others. @public */
export type RolloutNotice = readonly [
  service: ServiceId,
  to: ServerVersion,
  durationMs: number,
  era: StoreEra,
  version: number,
  /** Absent if the sender does not know it. */
  phase: RolloutPhase | null,
  elapsedMs: number,
  withdrawn: boolean,
  excluded: readonly ServerVersion[]
]
