import type { DemoStep, RequestOutcome } from './DemoPlan'

/** State of the demo reducer. @public */
export interface DemoState {
  /** Current step; undefined before the start. */
  step: DemoStep | undefined
  readonly outcomes: RequestOutcome[]
  readonly problems: string[]
  /** Children that are being stopped and may exit with code 0. */
  readonly stopping: Set<string>
}

/**
 * @returns the initial state
 * @public
 */
export function createDemoState (): DemoState {
  return { step: undefined, outcomes: [], problems: [], stopping: new Set() }
}
