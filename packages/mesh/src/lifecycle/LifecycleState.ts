import { type Millis, millis } from '@lavenderturn/types'

/** @public */
export interface LifecycleState {
  /** Time of day at which the process opened its ports. */
  startedAt: Millis
  /** Whether the process has been asked to stop. */
  stopping: boolean
  stopRequestedAt?: Millis
  /** Whether the backend server gets no new work any more because of the stop. */
  admissionClosed: boolean
  /** Whether the runtime has been told to end the process. */
  ended: boolean
}

/**
 * @returns the state of a process that has just started
 * @internal
 */
export function createLifecycleState (): LifecycleState {
  return { startedAt: millis(0), stopping: false, admissionClosed: false, ended: false }
}
