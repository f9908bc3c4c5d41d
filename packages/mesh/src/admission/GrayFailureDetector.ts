import { type Millis, millis } from '@lavenderturn/types'

/** What is known of a backend server's partial faults. @public */
export interface GrayFailureState {
  /** Natural logarithm of the odds that the server fails a large part of its requests now. */
  logOdds: number
  updatedAt: Millis
}

/** How a request ended, as far as it tells of a partial fault. @public */
export type RequestEvidence = 'success' | 'error' | 'overdue'

/** What a result is compared with. @public */
export interface DetectionContext {
  readonly now: Millis
  /** Share of requests that fail at sound servers of the same service now. */
  readonly baselineErrorRate: number
}

/** Decides from results whether a backend server has a partial fault. @public */
export abstract class GrayFailureDetector {
  /**
   * Takes one result into account.
   *
   * @param gray - what is known; updated in place
   * @param evidence - the result
   * @param context - steady time, and the share of requests that fail at the service's other servers
   */
  abstract observe (gray: GrayFailureState, evidence: RequestEvidence, context: DetectionContext): void

  /**
   * @param gray - what is known
   * @param now - steady time
   * @returns whether requests that may not be repeated should go elsewhere
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
