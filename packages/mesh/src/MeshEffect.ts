import type { Address, TimerEffect } from '@lavenderturn/types'
import type { AdmissionEffect } from './admission/AdmissionEffect'
import type { AnnouncementEffect } from './admission/AnnouncementEffect'
import type { ConfigurationEffect } from './configuration/ConfigurationEffect'
import type { DirectoryEffect } from './directory/DirectoryEffect'
import type { GatewayEffect } from './gateway/GatewayEffect'
import type { LifecycleEffect } from './lifecycle/LifecycleEffect'
import type { EventBody } from './MeshEvent'
import type { MemoryEffect } from './memory/MemoryEffect'
import type { PeerMessage } from './messages/PeerMessage'
import type { RolloutEffect } from './rollout/RolloutEffect'

/** Sends a datagram to a node, which may be this one. @public */
export interface SendEffect {
  readonly slice: 'peer'
  readonly type: 'send'
  readonly to: Address
  readonly message: PeerMessage
}

/** Writes a log line. @public */
export interface LogEffect {
  readonly slice: 'log'
  readonly type: 'line'
  readonly level: 'debug' | 'info' | 'warn'
  readonly message: string
  readonly fields: Readonly<Record<string, string | number | boolean | undefined>>
}

/** Everything that the reducer can request from the runtime. @public */
export type MeshEffect =
  | AdmissionEffect
  | AnnouncementEffect
  | ConfigurationEffect
  | DirectoryEffect
  | GatewayEffect
  | LifecycleEffect
  | LogEffect
  | MemoryEffect
  | RolloutEffect
  | SendEffect
  | TimerEffect<EventBody>
