/** @public */
export type LifecyclePhase =
  /** Ready for callers. */
  | 'serving'
  /** Not ready any more; callers that still come are served. */
  | 'draining'
  /** The grace period is over; the last exchanges end. */
  | 'finishing'
  /** Ports are closed. */
  | 'stopped'

/** @public */
export interface LifecycleState {
  phase: LifecyclePhase
  /**
   * What must be finished before the ports close, such as handing over ownership. A slice that handles
   * `lifecycle/drainStarted` raises `holdPlaced`, and `holdReleased` when it has finished.
   */
  readonly holds: Set<string>
}

/**
 * @returns the state of a node that serves
 * @internal
 */
export function createLifecycleState (): LifecycleState {
  return { phase: 'serving', holds: new Set() }
}
