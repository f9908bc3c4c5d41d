import { type Millis, millis } from '@lavenderturn/types'

/** Source of monotonic time. @public */
export abstract class Clock {
  /** @returns milliseconds since the start of the clock; never decreases */
  abstract now (): Millis
}

/** Monotonic clock of the process. @public */
export class ProcessClock extends Clock {
  override now (): Millis {
    return millis(performance.now())
  }
}
