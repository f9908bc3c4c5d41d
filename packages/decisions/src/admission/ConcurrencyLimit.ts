import type { Millis } from '@lavenderturn/types'

/** State of the concurrency limit of one backend server. @public */
export interface LimitState {
  /** Number of requests that may run concurrently, an integer from 1 to the server's slots. */
  limit: number
  /** Whether the limit is still in the slow start that follows a cold start. */
  slowStart: boolean
  /** Successful requests since the last change of the limit that were dispatched at the limit. */
  successes: number
  /** Rounds of `limit` successful requests at the limit that are needed before it increases. */
  rounds: number
  /** Moving average of the logarithm of the service time divided by the route's typical one. */
  slowdown: number
  /** Number of service times since the last start. */
  samples: number
  errorRate: number
  decreasedAt: Millis
}

/** How a dispatched request ended. @public */
export interface LimitSample {
  readonly kind: 'success' | 'error' | 'shed'
  /** Logarithm of its service time divided by the route's typical one; absent if the time is not meaningful. */
  readonly slowdown?: number
  /** Whether the limit was reached when it was dispatched. */
  readonly atLimit: boolean
}

/** Policy that decides how many requests a backend server may run concurrently. @public */
export abstract class ConcurrencyLimit {
  /**
   * Creates the limit of a backend server that may be cold.
   *
   * @param slots - the server's slots
   * @param now - current time
   * @returns the state
   */
  abstract start (slots: number, now: Millis): LimitState

  /**
   * Updates the limit after a request has ended.
   *
   * @param state - updated in place
   * @param slots - the server's slots
   * @param sample - how the request ended
   * @param now - current time
   */
  abstract update (state: LimitState, slots: number, sample: LimitSample, now: Millis): void
}
