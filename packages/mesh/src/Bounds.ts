import type { Millis } from '@lavenderturn/types'

/** Limits that the operators of a deployment configure. @public */
export interface Bounds {
  /** Time after which a revoked key is refused everywhere. */
  readonly revoke: Millis
  /** Time between the request to stop a process and its forced termination. */
  readonly grace: Millis
  /** Requests that a cold backend server may receive within a second, as a multiple of its cold rate. */
  readonly coldOver: number
  /** Requests within a second that are allowed on top of that multiple. */
  readonly coldSlack: number
  /** Share of a service's requests that may be retried. */
  readonly retryRatio: number
  /** Retries beyond that share that all nodes together may send within one budget window. */
  readonly retrySlack: number
  /** Interval between the announcements of a backend server. */
  readonly announceInterval: Millis
}
