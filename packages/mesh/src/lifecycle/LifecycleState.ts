import type { Millis } from '@lavenderturn/types'

/** @public */
export interface LifecycleState {
  /** Whether the process has been asked to stop. */
  stopping: boolean
  stopRequestedAt?: Millis
  /** Whether the runtime has been told to end the process. */
  ended: boolean
}

/**
 * @returns the state of a process that has just started
 * @internal
 */
export function createLifecycleState (): LifecycleState {
  return { stopping: false, ended: false }
}
