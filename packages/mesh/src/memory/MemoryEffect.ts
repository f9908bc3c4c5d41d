import type { ShareId } from './ShareId'

/** Why a body is given up. @public */
export type EvictionReason =
  /** All bodies together need more memory than the node has for them. */
  | 'memory'
  /** The other side moved less than the lowest rate while memory was short. */
  | 'slow'

/** Stops reading the body from its sender. @public */
export interface PauseShare {
  readonly slice: 'memory'
  readonly type: 'pause'
  readonly share: ShareId
}

/** Goes on reading the body. @public */
export interface ResumeShare {
  readonly slice: 'memory'
  readonly type: 'resume'
  readonly share: ShareId
}

/** Gives the body up. Its share is already closed. @public */
export interface EvictShare {
  readonly slice: 'memory'
  readonly type: 'evict'
  readonly share: ShareId
  readonly reason: EvictionReason
}

/** Collects memory that is free, before the program takes more from the machine. @public */
export interface CollectGarbage {
  readonly slice: 'memory'
  readonly type: 'collect'
}

/** @public */
export type MemoryEffect = CollectGarbage | EvictShare | PauseShare | ResumeShare
