import type { Millis } from '@lavenderturn/types'

/** State of an endpoint as its admission sees it; rides on every forwarded answer. @public */
export interface LoadReport {
  readonly slots: number
  /** Requests that the backend server may run at once now; at most `slots`. */
  readonly limit: number
  readonly inFlight: number
  readonly queued: number
  readonly verdict: 'healthy' | 'sick'
  /** Part of its usual traffic that the endpoint takes: 0 while it is ejected, less than 1 in trial. */
  readonly share: number
  /** While `share` is 0: time until the trial. */
  readonly resumeAfter: Millis
  /** Weighted mean service time; absent until enough responses were seen. */
  readonly serviceMs?: number
  /** Weighted rate of failed responses. */
  readonly errorRate: number
  /** Time that the admission held the attempt that this report answers. */
  readonly heldFor?: Millis
}
