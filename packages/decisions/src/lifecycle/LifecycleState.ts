/** @public */
export type LifecyclePhase =
  /** Ready, and serving requests. */
  | 'serving'
  /** No longer ready, but requests that still arrive are served. */
  | 'draining'
  /** The grace period has ended; the node waits for holds and open exchanges. */
  | 'finishing'
  /** The ports are closed. */
  | 'stopped'

/** @public */
export interface LifecycleState {
  phase: LifecyclePhase
  /**
   * Names of the holds that keep the ports open, each for work that must finish first, such as handing over ownership.
   * `holdPlaced` adds a hold, and the slice that does the work raises `holdReleased` when it has finished.
   */
  readonly holds: Set<string>
}

/**
 * @returns the state of a node that is serving
 * @internal
 */
export function createLifecycleState (): LifecycleState {
  return { phase: 'serving', holds: new Set() }
}
