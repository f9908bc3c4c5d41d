import { type Millis, millis } from '@lavenderturn/types'
import { build, type Histogram } from 'hdr-histogram-js'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import type { LoadOutcome } from './LoadEvent'
import type { LoadPlan } from './LoadPlan'

/** Highest latency that the histogram records. */
const MAX_LATENCY_US = 120_000_000

/** Results of one stream so far. @public */
export interface StreamState {
  sent: number
  notSent: number
  inFlight: number
  nextDue: Millis
  /** Due time of each request in flight, by sequence. Latency is measured from it, so that late sending is included. */
  readonly dueAt: Map<number, Millis>
  /** Latency of answered requests, in microseconds. */
  readonly latency: Histogram
  readonly outcomes: Map<string, number>
  /** End time and outcome of requests that were not answered. */
  readonly notAnswered: Array<{ readonly at: Millis, readonly outcome: LoadOutcome }>
}

/** State of the load reducer. @public */
export interface LoadState {
  readonly plan: LoadPlan
  readonly random: RandomGenerator
  readonly streams: readonly StreamState[]
  startedAt: Millis
}

/**
 * @param plan - the load
 * @returns the initial state
 * @public
 */
export function createLoadState (plan: LoadPlan): LoadState {
  return {
    plan,
    random: xoroshiro128plus(plan.seed),
    startedAt: millis(0),
    streams: plan.streams.map(() => ({
      sent: 0,
      notSent: 0,
      inFlight: 0,
      nextDue: millis(0),
      dueAt: new Map(),
      latency: build({ highestTrackableValue: MAX_LATENCY_US, numberOfSignificantValueDigits: 3 }),
      outcomes: new Map(),
      notAnswered: []
    }))
  }
}
