import type { Millis } from '@lavenderturn/types'
import type { ShareId } from './ShareId'

/** What memory is used for. @public */
export type MemoryPurpose =
  /** Bodies of requests. */
  | 'request'
  /** Bodies of responses. */
  | 'response'
  /** Requests that wait behind others of their connection. */
  | 'pipeline'

/** What happens to a body. @public */
export type ShareStage =
  /** It arrives and is needed as a whole. */
  | 'receiving'
  /** It is complete and cannot be given up, because a backend server may be running its request. */
  | 'serving'
  /** It arrives, and its receiver has got nothing of it yet. */
  | 'reading'
  /** Its receiver takes it. */
  | 'writing'
  /** It was delivered, and is kept in case that its receiver lost the connection. */
  | 'kept'

/** What one body holds. @public */
export interface MemoryShare {
  readonly id: ShareId
  readonly purpose: MemoryPurpose
  readonly callerRequestId: string
  stage: ShareStage
  /** Bytes that are held, including `overheadBytes`. */
  bytes: number
  /** What the connections of a body hold besides, once it has exceeded its window. */
  overheadBytes: number
  /** Bytes that the other side has sent or taken since the latest sweep. */
  movedBytes: number
  /** Since when the body is not read because memory is short. */
  pausedSince?: Millis
  /** Since when the other side has moved less than the lowest rate. */
  slowSince?: Millis
}

/** Memory of a node for the bodies of requests and responses. @public */
export interface MemoryState {
  readonly limitBytes: number
  usedBytes: number
  /** Part of `usedBytes` in the stage `kept`, which is given up first. */
  keptBytes: number
  /** Bytes that were freed since the latest collection and may still be in use by the process. */
  uncollectedBytes: number
  /** Time for which bodies were not read because memory was short, all of them added up. */
  pausedMs: number
  readonly shares: Map<ShareId, MemoryShare>
  readonly paused: Set<MemoryShare>
  isSweepScheduled: boolean
}

/**
 * @param limitBytes - memory for all bodies together
 * @returns the state of a node that holds nothing
 * @internal
 */
export function createMemoryState (limitBytes: number): MemoryState {
  return {
    limitBytes,
    usedBytes: 0,
    keptBytes: 0,
    uncollectedBytes: 0,
    pausedMs: 0,
    shares: new Map(),
    paused: new Set(),
    isSweepScheduled: false
  }
}
