import type { Address } from '@lavenderturn/types'
import type { EventBase } from '../MeshEvent'
import type { HeartbeatMessage, HelloMessage } from '../messages/PeerMessage'
import type { MemberRecord } from './Member'

/** The process has opened its ports. @public */
export interface NodeStarted extends EventBase {
  readonly slice: 'directory'
  readonly type: 'nodeStarted'
}

/** The registry of the store was read after this node had written its own record. @public */
export interface RegistryRead extends EventBase {
  readonly slice: 'directory'
  readonly type: 'registryRead'
  readonly records: readonly MemberRecord[]
}

/** Another node's beat arrived. @public */
export interface HeartbeatReceived extends EventBase {
  readonly slice: 'directory'
  readonly type: 'beatReceived'
  readonly message: HeartbeatMessage
  /** Address that the beat came from. */
  readonly from: Address
}

/** Another node made itself known. @public */
export interface HelloReceived extends EventBase {
  readonly slice: 'directory'
  readonly type: 'helloReceived'
  readonly message: HelloMessage
}

/** Time for this node's next beat. @public */
export interface HeartbeatDue extends EventBase {
  readonly slice: 'directory'
  readonly type: 'beatDue'
}

/** @public */
export type DirectoryEvent = HeartbeatDue | HeartbeatReceived | HelloReceived | NodeStarted | RegistryRead
