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

/** Fields common to all events. @public */
export interface EventBase {
  /** Monotonic time of the process at which the event happened. */
  readonly at: Millis
}

/** All events that a node handles. @public */
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

/** An event without its time, which the runtime adds. @public */
export type EventBody = DistributiveOmit<NodeEvent, 'at'>
