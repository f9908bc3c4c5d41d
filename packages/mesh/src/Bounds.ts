import { type Millis, millis } from '@lavenderturn/types'

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
  /** Share of a service's requests that a version may get before it is proven; absent without roll-outs. */
  readonly exposeShare?: number
  /** Requests that it may get on top of that share; absent without roll-outs. */
  readonly exposeSlack?: number
  /** Time within which a version that is known to be bad gets no requests; absent without roll-outs. */
  readonly rollback?: Millis
  /** Interval between the announcements of a backend server. */
  readonly announceInterval: Millis
}

/**
 * Bounds of a deployment that names none of its own, because the rule is not in force there. Keys are then used as the
 * latest configuration says, however old it is. What protects backend servers stays: a cold server gets its cold rate,
 * and retries stay few.
 *
 * @public
 */
export const DEFAULT_BOUNDS: Omit<Bounds, 'announceInterval'> = {
  revoke: millis(Number.POSITIVE_INFINITY),
  grace: millis(6_000),
  coldOver: 1,
  coldSlack: 0,
  retryRatio: 0.2,
  retrySlack: 60
}
