import type { EventBase } from '../MeshEvent'
import type { MemoryPurpose, ShareStage } from './MemoryState'
import type { ShareId } from './ShareId'

interface MemoryEventBase extends EventBase {
  readonly slice: 'memory'
  readonly share: ShareId
}

/** The first bytes of a body are held. @public */
export interface ShareOpened extends MemoryEventBase {
  readonly type: 'shareOpened'
  readonly purpose: MemoryPurpose
  readonly stage: ShareStage
  readonly bytes: number
  /** Request id supplied by the caller, for logs; empty if it is not known. */
  readonly callerRequestId: string
}

/** Further bytes of a body were read and are held. @public */
export interface BytesHeld extends MemoryEventBase {
  readonly type: 'bytesHeld'
  readonly bytes: number
}

/** The receiver of a body took bytes. @public */
export interface BytesTaken extends MemoryEventBase {
  readonly type: 'bytesTaken'
  readonly bytes: number
  /** Whether the bytes are no longer held. */
  readonly areFreed: boolean
}

/** What happens to the body has changed. @public */
export interface ShareStaged extends MemoryEventBase {
  readonly type: 'shareStaged'
  readonly stage: ShareStage
}

/** Nothing of the body is held any more. @public */
export interface ShareClosed extends MemoryEventBase {
  readonly type: 'shareClosed'
}

/** Timer: looks for bodies that do not move while memory is short. @public */
export interface SweepDue extends EventBase {
  readonly slice: 'memory'
  readonly type: 'sweepDue'
}

/** @public */
export type MemoryEvent = BytesHeld | BytesTaken | ShareClosed | ShareOpened | ShareStaged | SweepDue
