import { type Millis, millis } from '@lavenderturn/types'
import { ConcurrencyLimit, type LimitSample, type LimitState } from './ConcurrencyLimit'

/** Weight of a new service time. Five requests at 20 times the typical service time exceed `COLD_SLOWDOWN`. */
const SLOWDOWN_WEIGHT = 0.1

/** Weight of a new outcome in the error rate. */
const ERROR_WEIGHT = 0.1

/** Error rate from which an error lowers the limit. Below it, errors are attributed to single requests. */
const ERROR_RATE_THRESHOLD = 0.2

/** Logarithm of the slowdown that indicates an unannounced cold start. */
const COLD_SLOWDOWN = Math.log(3)

/** The limit increases only while the absolute value of `slowdown` is below this; a server that warms up exceeds it. */
const STEADY_SLOWDOWN = Math.log(1.5)

/** Number of service times needed before `slowdown` is used. */
const MIN_SAMPLES = 5

/**
 * Rounds of successful requests at a limit before it increases. With 8 rounds, a cold server whose capacity grows by
 * one request for every 33 served got 12 requests beyond its capacity.
 */
const INITIAL_ROUNDS = 16

/** Maximum number of rounds; each failure in slow start doubles the number up to this. */
const MAX_ROUNDS = 64

/** Fraction of the limit that remains after a decrease. */
const DECREASE_FACTOR = 0.7

/** Minimum time between two decreases, because one overload makes many requests fail at once. */
const DECREASE_INTERVAL = millis(100)

/** A limit with additive increase, multiplicative decrease and slow start from 1. @public */
export class AdaptiveConcurrencyLimit extends ConcurrencyLimit {
  override start (slots: number, now: Millis): LimitState {
    return {
      limit: Math.min(1, slots),
      slowStart: true,
      successes: 0,
      rounds: INITIAL_ROUNDS,
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
    else if (state.slowStart) backOff(state, now)
    else if (sample.kind === 'shed' || state.errorRate >= ERROR_RATE_THRESHOLD) decrease(state, now)
  }

  private handleSuccess (state: LimitState, slots: number, { atLimit }: LimitSample, now: Millis): void {
    if (state.samples >= MIN_SAMPLES && state.slowdown >= COLD_SLOWDOWN) {
      if (state.limit > 1) Object.assign(state, this.start(slots, now))
      return
    }
    if (Math.abs(state.slowdown) > STEADY_SLOWDOWN) state.successes = 0
    else if (atLimit) increase(state, slots)
  }
}

function increase (state: LimitState, slots: number): void {
  state.successes += 1
  if (state.successes < state.limit * state.rounds) return
  state.successes = 0
  const step = state.slowStart ? Math.max(1, Math.floor(state.limit / 2)) : 1
  state.limit = Math.min(slots, state.limit + step)
  if (state.limit < slots) return
  state.slowStart = false
  state.rounds = INITIAL_ROUNDS
}

/** In slow start any failure may be an overload, so the limit decreases and then increases more slowly. */
function backOff (state: LimitState, now: Millis): void {
  if (now - state.decreasedAt >= DECREASE_INTERVAL) state.rounds = Math.min(MAX_ROUNDS, state.rounds * 2)
  decrease(state, now)
}

function decrease (state: LimitState, now: Millis): void {
  state.successes = 0
  if (now - state.decreasedAt < DECREASE_INTERVAL) return
  state.decreasedAt = now
  state.limit = Math.max(1, Math.floor(state.limit * DECREASE_FACTOR))
}
