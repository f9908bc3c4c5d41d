import { type Address, type DataCentreId, type Millis, millis, type NodeId, type ServiceId } from '@lavenderturn/types'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import { type AdmissionState, createAdmissionState } from './admission/AdmissionState'
import type { Bounds } from './Bounds'
import { type ConfigurationState, createConfigurationState } from './configuration/ConfigurationState'
import { createDirectoryState, type DirectoryState } from './directory/DirectoryState'
import { createGatewayState, type GatewayState } from './gateway/GatewayState'
import { createLifecycleState, type LifecycleState } from './lifecycle/LifecycleState'
import { createMemoryState, type MemoryState } from './memory/MemoryState'
import { DEFAULT_RESOURCES, findResourceLimits } from './memory/resourceLimits'
import { createMeshPolicies, type MeshPolicies } from './MeshPolicies'
import { createQuarantineState, type QuarantineState } from './quarantine/QuarantineState'
import { createQuotaState, type QuotaState } from './quota/QuotaState'
import { createRolloutState, type RolloutState } from './rollout/RolloutState'

/** Identity and location of a node, fixed by its settings. @public */
export interface MeshIdentity {
  /** Name of the instance. It stays the same when the process restarts. */
  readonly nodeId: NodeId
  /** Distinguishes processes that ran under the same node id. */
  readonly bootId: string
  readonly dataCentre: DataCentreId
  /** Service that this instance's backend server belongs to. */
  readonly service: ServiceId
  /** Address at which other nodes send datagrams. */
  readonly peerAddress: Address
  /** Address at which other nodes send forwarded requests. */
  readonly forwardAddress: Address
}

/** The complete state of a node. Only `reduceMesh` changes it. @public */
export interface MeshState {
  readonly identity: MeshIdentity
  bounds: Bounds
  readonly policies: MeshPolicies
  readonly random: RandomGenerator
  /** Steady time of the latest event. */
  now: Millis
  /** Time of day of the latest event. */
  wallNow: Millis
  readonly admission: AdmissionState
  readonly configuration: ConfigurationState
  readonly directory: DirectoryState
  readonly gateway: GatewayState
  readonly lifecycle: LifecycleState
  readonly memory: MemoryState
  readonly quarantine: QuarantineState
  readonly quota: QuotaState
  readonly rollout: RolloutState
}

/** @public */
export interface MeshStateOptions {
  readonly identity: MeshIdentity
  readonly bounds: Bounds
  readonly policies?: Partial<MeshPolicies>
  /** Seed of the node's random generator. */
  readonly seed?: number
  /** Memory for the bodies of requests and responses; that of the smallest machine by default. */
  readonly bodyBytes?: number
}

/**
 * Creates the initial state of a node.
 *
 * @param options - identity, bounds, policies, seed, and memory for bodies
 * @returns the state
 * @public
 */
export function createMeshState (
  { identity, bounds, policies, seed = 1, bodyBytes }: MeshStateOptions
): MeshState {
  return {
    identity,
    bounds,
    policies: createMeshPolicies(policies),
    random: xoroshiro128plus(seed),
    now: millis(0),
    wallNow: millis(0),
    admission: createAdmissionState(),
    configuration: createConfigurationState(),
    directory: createDirectoryState(),
    gateway: createGatewayState(),
    lifecycle: createLifecycleState(),
    memory: createMemoryState(bodyBytes ?? findResourceLimits(DEFAULT_RESOURCES).bodyBytes),
    quarantine: createQuarantineState(),
    quota: createQuotaState(),
    rollout: createRolloutState()
  }
}
