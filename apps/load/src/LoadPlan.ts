import type { Address, Millis, TeamId } from '@lavenderturn/types'

/** One kind of request that a team sends at a steady mean rate. @public */
export interface LoadStream {
  readonly name: string
  /** Absent: the requests carry no key. */
  readonly team?: TeamId
  readonly key?: string
  readonly method: string
  readonly path: string
  readonly bodyBytes: number
  /** Whether each request carries an idempotency key of its own. */
  readonly keyed: boolean
  readonly ratePerSecond: number
  /** `even`: equal gaps; `random`: exponential gaps, which come in bursts. */
  readonly arrival: 'even' | 'random'
  /** Caller ports of the nodes, with the weight with which each is chosen. */
  readonly targets: ReadonlyArray<{ readonly address: Address, readonly weight: number }>
}

/** A bounded load: it ends by itself. @public */
export interface LoadPlan {
  readonly streams: readonly LoadStream[]
  readonly duration: Millis
  readonly seed: number
  /** Requests of one stream that may be in flight; more are counted as not sent. */
  readonly maxInFlight: number
}
