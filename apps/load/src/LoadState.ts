import { type Millis, millis } from '@lavenderturn/types'
import { build, type Histogram } from 'hdr-histogram-js'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import type { LoadOutcome } from './LoadEvent'
import type { LoadPlan } from './LoadPlan'

/** Latency is recorded in microseconds up to this value. */
const HIGHEST_LATENCY_US = 120_000_000

/** What became of one stream so far. @public */
export interface StreamState {
  sent: number
  notSent: number
  inFlight: number
  nextDue: Millis
  /** When each request in flight was due, by sequence; latency counts from then, not from a late start. */
  readonly dueAt: Map<number, Millis>
  /** Latency of answered requests, in microseconds. */
  readonly latency: Histogram
  readonly outcomes: Map<string, number>
  /** When requests ended other than answered, with what they got. */
  readonly notAnswered: Array<{ readonly at: Millis, readonly outcome: LoadOutcome }>
}

/** @public */
export interface LoadState {
  readonly plan: LoadPlan
  readonly random: RandomGenerator
  readonly streams: readonly StreamState[]
  startedAt: Millis
}

/**
 * @param plan - the load
 * @returns the state before the first request
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
      latency: build({ highestTrackableValue: HIGHEST_LATENCY_US, numberOfSignificantValueDigits: 3 }),
      outcomes: new Map(),
      notAnswered: []
    }))
  }
}
