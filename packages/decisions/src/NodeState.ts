import { type Address, type DataCentreId, type Millis, millis, type NodeId, type RegionId } from '@lavenderturn/types'
import { type RandomGenerator } from 'pure-rand/types/RandomGenerator'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { type AdmissionState, createAdmissionState } from './admission/AdmissionState'
import { type AnnouncementState, createAnnouncementState } from './announcement/AnnouncementState'
import { type ControlState, createControlState } from './control/ControlState'
import { createGatewayState, type GatewayState } from './gateway/GatewayState'
import { createHealthState, type HealthState } from './health/HealthState'
import { createIdempotencyState, type IdempotencyState } from './idempotency/IdempotencyState'
import { createLifecycleState, type LifecycleState } from './lifecycle/LifecycleState'
import { createLimitsState, type LimitsState } from './limits/LimitsState'
import { createMembershipState, type MembershipState } from './membership/MembershipState'
import { createPolicies, type Policies, type PolicyOptions } from './Policies'
import { createQuarantineState, type QuarantineState } from './quarantine/QuarantineState'

/** Identity, location and addresses of a node, as fixed by its settings. @public */
export interface NodeIdentity {
  readonly nodeId: NodeId
  readonly dataCentre: DataCentreId
  readonly region: RegionId
  readonly forwardAddress: Address
  readonly controlAddress: Address
}

/** The complete state of a node. Only `reduce` changes it. @public */
export interface NodeState {
  readonly identity: NodeIdentity
  /** Time of the latest event. */
  now: Millis
  readonly random: RandomGenerator
  readonly policies: Policies
  readonly admission: AdmissionState
  readonly announcement: AnnouncementState
  readonly control: ControlState
  readonly gateway: GatewayState
  readonly health: HealthState
  readonly idempotency: IdempotencyState
  readonly lifecycle: LifecycleState
  readonly limits: LimitsState
  readonly membership: MembershipState
  readonly quarantine: QuarantineState
}

/** @public */
export interface NodeStateOptions {
  readonly identity: NodeIdentity
  readonly now?: Millis
  /** Seed of the node's random generator. */
  readonly seed?: number
  readonly policies?: PolicyOptions
}

/**
 * Creates the state of a node that has just started.
 *
 * @param options - identity, start time, seed and policies
 * @returns the state
 * @public
 */
export function createNodeState ({ identity, now = millis(0), seed = 1, policies = {} }: NodeStateOptions): NodeState {
  return {
    identity,
    now,
    random: xoroshiro128plus(seed),
    policies: createPolicies(policies),
    admission: createAdmissionState(),
    announcement: createAnnouncementState(),
    control: createControlState({ now }),
    gateway: createGatewayState(),
    health: createHealthState(),
    idempotency: createIdempotencyState(),
    lifecycle: createLifecycleState(),
    limits: createLimitsState(),
    membership: createMembershipState(),
    quarantine: createQuarantineState()
  }
}
