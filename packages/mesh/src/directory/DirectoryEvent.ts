import type { Address } from '@lavenderturn/types'
import type { Departure } from '../admission/Departure'
import type { StoreEra } from '../configuration/StorePosition'
import type { EventBase } from '../MeshEvent'
import type { HeartbeatMessage, HelloMessage } from '../messages/PeerMessage'
import type { MemberRecord } from './Member'

/** The process has opened its ports. @public */
export interface NodeStarted extends EventBase {
  readonly slice: 'directory'
  readonly type: 'nodeStarted'
}

/** The registry was read after this node had written its own record. @public */
export interface RegistryRead extends EventBase {
  readonly slice: 'directory'
  readonly type: 'registryRead'
  readonly records: readonly MemberRecord[]
  /** Departure that an earlier process of this node has recorded. */
  readonly departure?: Departure
  /** Era of the store to which this node's record was written; absent if unknown. */
  readonly era?: StoreEra
}

/** A heartbeat of another node was received. @public */
export interface HeartbeatReceived extends EventBase {
  readonly slice: 'directory'
  readonly type: 'beatReceived'
  readonly message: HeartbeatMessage
  /** Address that the heartbeat was sent from. */
  readonly from: Address
}

/** Another node introduced itself. @public */
export interface HelloReceived extends EventBase {
  readonly slice: 'directory'
  readonly type: 'helloReceived'
  readonly message: HelloMessage
}

/** Timer: sends the next heartbeat. @public */
export interface HeartbeatDue extends EventBase {
  readonly slice: 'directory'
  readonly type: 'beatDue'
}

/** @public */
export type DirectoryEvent = HeartbeatDue | HeartbeatReceived | HelloReceived | NodeStarted | RegistryRead
