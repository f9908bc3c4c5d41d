import type { Millis } from '@lavenderturn/types'
import type { AdmissionEvent } from './admission/AdmissionEvent'
import type { AnnouncementEvent } from './announcement/AnnouncementEvent'
import type { ControlEvent } from './control/ControlEvent'
import type { GatewayEvent } from './gateway/GatewayEvent'
import type { HealthEvent } from './health/HealthEvent'
import type { IdempotencyEvent } from './idempotency/IdempotencyEvent'
import type { LifecycleEvent } from './lifecycle/LifecycleEvent'
import type { LimitsEvent } from './limits/LimitsEvent'
import type { MembershipEvent } from './membership/MembershipEvent'
import type { QuarantineEvent } from './quarantine/QuarantineEvent'

/** Fields of every event. @public */
export interface EventBase {
  /** Monotonic time of the process at which the event happened. */
  readonly at: Millis
}

/** Everything that can happen to a node. @public */
export type NodeEvent =
  | AdmissionEvent
  | AnnouncementEvent
  | ControlEvent
  | GatewayEvent
  | HealthEvent
  | IdempotencyEvent
  | LifecycleEvent
  | LimitsEvent
  | MembershipEvent
  | QuarantineEvent

/** Omits a key from each member of a union separately. @public */
export type DistributiveOmit<Union, Key extends PropertyKey> = Union extends unknown ? Omit<Union, Key> : never

/** An event that has not happened yet; the runtime adds the time. @public */
export type EventBody = DistributiveOmit<NodeEvent, 'at'>
