import type { TimerEffect } from '@lavenderturn/types'
import type { AdmissionEffect } from './admission/AdmissionEffect'
import type { ControlEffect } from './control/ControlEffect'
import type { PlatformEffect } from './control/PlatformEffect'
import type { GatewayEffect } from './gateway/GatewayEffect'
import type { HealthEffect } from './health/HealthEffect'
import type { IdempotencyEffect } from './idempotency/IdempotencyEffect'
import type { LimitsEffect } from './limits/LimitsEffect'
import type { MembershipEffect } from './membership/MembershipEffect'
import type { LifecycleEffect } from './lifecycle/LifecycleEffect'
import type { EventBody } from './NodeEvent'
import type { QuarantineEffect } from './quarantine/QuarantineEffect'

/** Makes the reducer handle another event within the same step. @public */
export interface RaiseEffect {
  readonly slice: 'reducer'
  readonly type: 'raise'
  readonly event: EventBody
}

/** Logs a change of state as one line. Everything else is only counted in metrics. @public */
export interface LogEffect {
  readonly slice: 'log'
  readonly type: 'stateChanged'
  readonly message: string
  readonly fields: Readonly<Record<string, string | number | boolean>>
}

/** All effects that the slices of the reducer can return. @public */
export type NodeEffect =
  | AdmissionEffect
  | ControlEffect
  | GatewayEffect
  | HealthEffect
  | IdempotencyEffect
  | LifecycleEffect
  | LimitsEffect
  | LogEffect
  | MembershipEffect
  | PlatformEffect
  | QuarantineEffect
  | RaiseEffect
  | TimerEffect<EventBody>

/** The effects that the runtime executes: all but `raise`. @public */
export type RuntimeEffect = Exclude<NodeEffect, RaiseEffect>
