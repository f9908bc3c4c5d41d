import { type Millis, millis } from '@lavenderturn/types'
import { ConcurrencyLimit, type LimitSample, type LimitState } from './ConcurrencyLimit'

/** Weight of a new service time; five requests at 20 times the usual one pass `COLD_SLOWDOWN`. */
const SLOWDOWN_WEIGHT = 0.1

/** Weight of a new outcome in the error rate. */
const ERROR_WEIGHT = 0.1

/** Error rate from which an error lowers the limit; below it, errors are taken for faults of single requests. */
const ERROR_RATE_THRESHOLD = 0.2

/** Service time over the usual one that means a cold start which was not announced. */
const COLD_SLOWDOWN = Math.log(3)

/** The limit grows only while the service time is this near to the usual one; a server that warms up is not. */
const STEADY_SLOWDOWN = Math.log(1.5)

/** Service times before `slowdown` is used. */
const MIN_SAMPLES = 5

/**
 * Rounds of requests that must end well at a limit before it grows. With 8, a cold server that bears one request more
 * for each 33 served got 12 requests more than it could bear.
 */
const FIRST_ROUNDS = 16

/** A failure in slow start doubles the rounds, up to this. */
const MOST_ROUNDS = 64

/** Part of the limit that remains after a decrease. */
const DECREASE_FACTOR = 0.7

/** One overload fails many requests at once; they count as one decrease within this time. */
const DECREASE_INTERVAL = millis(100)

/** Additive increase and multiplicative decrease, with slow start from 1. @public */
export class AdaptiveConcurrencyLimit extends ConcurrencyLimit {
  override start (slots: number, now: Millis): LimitState {
    return {
      limit: Math.min(1, slots),
      slowStart: true,
      successes: 0,
      rounds: FIRST_ROUNDS,
      slowdown: 0,
      samples: 0,
      errorRate: 0,
      decreasedAt: now
    }
  }

  override update (state: LimitState, slots: number, sample: LimitSample, now: Millis): void {
    state.errorRate += ((sample.kind === 'error' ? 1 : 0) - state.errorRate) * ERROR_WEIGHT
    if (sample.slowdown !== undefined) {
      state.samples += 1
      state.slowdown += (sample.slowdown - state.slowdown) * SLOWDOWN_WEIGHT
    }
    if (sample.kind === 'success') this.handleSuccess(state, slots, sample, now)
    else if (state.slowStart) retreat(state, now)
    else if (sample.kind === 'shed' || state.errorRate >= ERROR_RATE_THRESHOLD) decrease(state, now)
  }

  private handleSuccess (state: LimitState, slots: number, { atLimit }: LimitSample, now: Millis): void {
    if (state.samples >= MIN_SAMPLES && state.slowdown >= COLD_SLOWDOWN) {
      if (state.limit > 1) Object.assign(state, this.start(slots, now))
      return
    }
    if (Math.abs(state.slowdown) > STEADY_SLOWDOWN) state.successes = 0
    else if (atLimit) grow(state, slots)
  }
}

function grow (state: LimitState, slots: number): void {
  state.successes += 1
  if (state.successes < state.limit * state.rounds) return
  state.successes = 0
  const step = state.slowStart ? Math.max(1, Math.floor(state.limit / 2)) : 1
  state.limit = Math.min(slots, state.limit + step)
  if (state.limit < slots) return
  state.slowStart = false
  state.rounds = FIRST_ROUNDS
}

/** In slow start any failure may be an overload: the limit goes back and grows more slowly from then on. */
function retreat (state: LimitState, now: Millis): void {
  if (now - state.decreasedAt >= DECREASE_INTERVAL) state.rounds = Math.min(MOST_ROUNDS, state.rounds * 2)
  decrease(state, now)
}

function decrease (state: LimitState, now: Millis): void {
  state.successes = 0
  if (now - state.decreasedAt < DECREASE_INTERVAL) return
  state.decreasedAt = now
  state.limit = Math.max(1, Math.floor(state.limit * DECREASE_FACTOR))
}
