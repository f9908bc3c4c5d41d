import { type Millis, millis } from '@lavenderturn/types'

/** Evidence of a gray failure of a backend server. A gray failure affects only a part of the requests. @public */
export interface GrayFailureState {
  /** Natural logarithm of the odds that the server currently fails a large part of its requests. */
  logOdds: number
  updatedAt: Millis
}

/** Result of a request as evidence for or against a gray failure. @public */
export type RequestEvidence = 'success' | 'error' | 'overdue'

/** Values that a result is compared with. @public */
export interface DetectionContext {
  readonly now: Millis
  /** Current error rate of the healthy servers of the same service. */
  readonly baselineErrorRate: number
}

/** Detects gray failures of a backend server from the results of its requests. @public */
export abstract class GrayFailureDetector {
  /**
   * Adds the result of a request to the evidence.
   *
   * @param gray - the evidence so far; updated in place
   * @param evidence - the result
   * @param context - the steady time and the error rate of the service's healthy servers
   */
  abstract observe (gray: GrayFailureState, evidence: RequestEvidence, context: DetectionContext): void

  /**
   * @param gray - the evidence so far
   * @param now - the steady time
   * @returns whether requests that may run only once should go to other servers
   */
  abstract isSuspect (gray: GrayFailureState, now: Millis): boolean
}

/**
 * @returns the state of a server without results
 * @internal
 */
export function createGrayFailureState (): GrayFailureState {
  return { logOdds: Number.NEGATIVE_INFINITY, updatedAt: millis(0) }
}
