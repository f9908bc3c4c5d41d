import type { Millis } from '@lavenderturn/types'
import { ConcurrencyLimit, type LimitState } from './ConcurrencyLimit'

/** Baseline policy: a backend server may always use all of its slots. @public */
export class FixedConcurrencyLimit extends ConcurrencyLimit {
  override start (slots: number, now: Millis): LimitState {
    return {
      limit: slots, slowStart: false, successes: 0, rounds: 0, slowdown: 0, samples: 0, errorRate: 0, decreasedAt: now
    }
  }

  override update (): void {}
}
