/** One step of a trial after an ejection. @internal */
export interface TrialStep {
  /** Fraction of the usual traffic. */
  readonly share: number
  /** Consecutive successes that complete the step. */
  readonly successes: number
}

/** Steps of a trial. Together they give enough responses to evaluate the endpoint as usual afterwards. */
export const TRIAL_STEPS: readonly TrialStep[] = [
  { share: 0.05, successes: 3 },
  { share: 0.25, successes: 6 },
  { share: 1, successes: 12 }
]
