import type { Millis } from '@lavenderturn/types'

/** State of an endpoint as seen by its admission; sent with every response to a forwarded attempt. @public */
export interface LoadReport {
  readonly slots: number
  /** Current limit on concurrent requests to the backend server; at most `slots`. */
  readonly limit: number
  readonly inFlight: number
  readonly queued: number
  readonly verdict: 'healthy' | 'sick'
  /** Fraction of its usual traffic that the endpoint accepts: 0 while ejected, below 1 at the start of a trial. */
  readonly share: number
  /** While `share` is 0: time until the trial starts. */
  readonly resumeAfter: Millis
  /** Moving geometric mean of the service time; absent until there are enough samples. */
  readonly serviceMs?: number
  /** Moving average of the rate of failed responses. */
  readonly errorRate: number
  /** Time that the admission spent on the attempt that this report is sent with. */
  readonly heldFor?: Millis
}
