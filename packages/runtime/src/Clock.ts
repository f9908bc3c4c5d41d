import { type Millis, millis } from '@lavenderturn/types'

/** Source of monotonic time. @public */
export abstract class Clock {
  /** @returns monotonic time of this process */
  abstract now (): Millis
}

/** The process's own monotonic clock. @public */
export class ProcessClock extends Clock {
  override now (): Millis {
    return millis(performance.now())
  }
}
