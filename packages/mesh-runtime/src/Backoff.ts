/** @internal */
export interface BackoffOptions {
  readonly firstMs: number
  readonly longestMs: number
}

/** Grows the pause between tries; a random part keeps many nodes from coming back at one moment. @internal */
export class Backoff {
  private tries = 0

  constructor (private readonly options: BackoffOptions) {}

  /** @returns the next pause in milliseconds */
  next (): number {
    const { firstMs, longestMs } = this.options
    const full = Math.min(longestMs, firstMs * 2 ** this.tries++)
    return full * (0.5 + Math.random() / 2)
  }

  /** Starts again with the first pause. */
  reset (): void {
    this.tries = 0
  }
}
