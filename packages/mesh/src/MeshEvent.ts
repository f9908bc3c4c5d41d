import type { Millis } from '@lavenderturn/types'
import type { AdmissionEvent } from './admission/AdmissionEvent'
import type { ConfigurationEvent } from './configuration/ConfigurationEvent'
import type { DirectoryEvent } from './directory/DirectoryEvent'
import type { GatewayEvent } from './gateway/GatewayEvent'
import type { LifecycleEvent } from './lifecycle/LifecycleEvent'
import type { MemoryEvent } from './memory/MemoryEvent'
import type { QuotaEvent } from './quota/QuotaEvent'
import type { RolloutEvent } from './rollout/RolloutEvent'

/** Fields of every event. @public */
export interface EventBase {
  /** Steady time of the process when the event occurred. */
  readonly at: Millis
  /** Time of day when the event occurred. */
  readonly wallAt: Millis
}

/** Everything that can happen to a node. @public */
export type MeshEvent =
  | AdmissionEvent
  | ConfigurationEvent
  | DirectoryEvent
  | GatewayEvent
  | LifecycleEvent
  | MemoryEvent
  | QuotaEvent
  | RolloutEvent

type DistributiveOmit<Union, Key extends PropertyKey> = Union extends unknown ? Omit<Union, Key> : never

/** An event before the runtime adds its times. @public */
export type EventBody = DistributiveOmit<MeshEvent, keyof EventBase>
