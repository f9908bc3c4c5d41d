import type { Address, Millis, TeamId } from '@lavenderturn/types'

/** Requests of one kind that a team sends at a constant mean rate. @public */
export interface LoadStream {
  readonly name: string
  /** Absent if the requests are sent without a key. */
  readonly team?: TeamId
  readonly key?: string
  readonly method: string
  readonly path: string
  readonly bodyBytes: number
  /** Whether each request has its own idempotency key. */
  readonly hasIdempotencyKey: boolean
  readonly ratePerSecond: number
  /** `even`: constant intervals; `random`: exponentially distributed intervals, which cause bursts. */
  readonly arrival: 'even' | 'random'
  /** Caller addresses of the nodes and the relative share of requests that each receives. */
  readonly targets: ReadonlyArray<{ readonly address: Address, readonly weight: number }>
}

/** A load of limited duration. @public */
export interface LoadPlan {
  readonly streams: readonly LoadStream[]
  readonly duration: Millis
  readonly seed: number
  /** Limit of requests in flight per stream; requests beyond it are counted as not sent. */
  readonly maxInFlight: number
}
