import type { DemoStep, RequestOutcome } from './DemoPlan'

/** @public */
export interface DemoState {
  /** Undefined before the start. */
  step: DemoStep | undefined
  readonly outcomes: RequestOutcome[]
  readonly problems: string[]
  /** Children that are being stopped, whose exit is no problem. */
  readonly stopping: Set<string>
}

/**
 * @returns the state of a demo that has not started
 * @public
 */
export function createDemoState (): DemoState {
  return { step: undefined, outcomes: [], problems: [], stopping: new Set() }
}
