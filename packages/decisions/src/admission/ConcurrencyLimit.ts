import type { Millis } from '@lavenderturn/types'

/** What a concurrency limit remembers of one backend server. @public */
export interface LimitState {
  /** Requests that may run at once now; a whole number from 1 to the slots. */
  limit: number
  /** Whether the limit grows from 1 after a cold start. */
  slowStart: boolean
  /** Requests that ended well since the limit last changed and that had filled it. */
  successes: number
  /** Rounds of requests that must end well at a limit before it grows. */
  rounds: number
  /** Weighted logarithm of service time over the usual one. */
  slowdown: number
  /** Service times since the latest start. */
  samples: number
  errorRate: number
  decreasedAt: Millis
}

/** How a dispatched request ended. @public */
export interface LimitSample {
  readonly kind: 'success' | 'error' | 'shed'
  /** Logarithm of its service time over the route's usual one; absent when the time says nothing. */
  readonly slowdown?: number
  /** Whether it filled the limit when it was dispatched. */
  readonly atLimit: boolean
}

/** Decides how many requests a backend server may run at once. @public */
export abstract class ConcurrencyLimit {
  /**
   * Makes the limit of a backend server that may be cold.
   *
   * @param slots - its slots
   * @param now - present time
   * @returns the state
   */
  abstract start (slots: number, now: Millis): LimitState

  /**
   * Takes the end of a request into account.
   *
   * @param state - updated in place
   * @param slots - the server's slots
   * @param sample - how the request ended
   * @param now - present time
   */
  abstract update (state: LimitState, slots: number, sample: LimitSample, now: Millis): void
}
