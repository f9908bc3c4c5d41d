/** @internal */
export interface BackoffOptions {
  readonly initialDelayMs: number
  readonly maxDelayMs: number
}

/** Exponential backoff with jitter, so that nodes do not all retry at the same moment. @internal */
export class Backoff {
  private attempts = 0

  constructor (private readonly options: BackoffOptions) {}

  /** @returns the delay before the next attempt, in milliseconds */
  nextDelayMs (): number {
    const { initialDelayMs: firstMs, maxDelayMs: longestMs } = this.options
    const delayMs = Math.min(longestMs, firstMs * 2 ** this.attempts++)
    return delayMs * (0.5 + Math.random() / 2)
  }

  /** Starts again with the initial delay. */
  reset (): void {
    this.attempts = 0
  }
}
