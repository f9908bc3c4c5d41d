/** One step of the return from an ejection. @internal */
export interface TrialStep {
  /** Part of the usual traffic. */
  readonly share: number
  /** Successes in a row that end the step. */
  readonly successes: number
}

/** Steps of the return. Their successes together are enough to judge the endpoint as usual afterwards. */
export const TRIAL_STEPS: readonly TrialStep[] = [
  { share: 0.05, successes: 3 },
  { share: 0.25, successes: 6 },
  { share: 1, successes: 12 }
]
