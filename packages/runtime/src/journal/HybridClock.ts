/** Received times that are further ahead of the local clock are considered faulty and ignored. */
const MAX_CLOCK_SKEW_MS = 60_000

/** @public */
export interface HybridTime {
  /** Milliseconds since the epoch: the latest that this process has read or received. */
  readonly wallMs: number
  /** Orders times with the same milliseconds. */
  readonly counter: number
}

/**
 * Hybrid logical clock. Its times are close to wall time and later than every received time, so that causes sort before
 * their effects across processes.
 *
 * @public
 */
export class HybridClock {
  private wallMs = 0
  private counter = 0

  constructor (private readonly readWallMs: () => number = Date.now) {}

  /** @returns the next time of this process */
  next (): HybridTime {
    this.advance(this.readWallMs(), -1)
    return { wallMs: this.wallMs, counter: this.counter }
  }

  /** @returns the next time as a header value */
  stamp (): string {
    return formatHybridTime(this.next())
  }

  /**
   * Advances the clock past the time of another process.
   *
   * @param value - a header value; ignored when it is malformed
   */
  receive (value: string | string[] | undefined): void {
    const time = typeof value === 'string' ? parseHybridTime(value) : undefined
    if (time === undefined || time.wallMs > this.readWallMs() + MAX_CLOCK_SKEW_MS) return
    this.advance(time.wallMs, time.counter)
  }

  private advance (wallMs: number, counter: number): void {
    if (wallMs > this.wallMs) {
      this.wallMs = wallMs
      this.counter = counter + 1
    } else {
      this.counter = Math.max(this.counter, wallMs === this.wallMs ? counter : 0) + 1
    }
  }
}

/**
 * @param time - a time
 * @returns `wallMs.counter`
 * @public
 */
export function formatHybridTime ({ wallMs, counter }: HybridTime): string {
  return `${wallMs}.${counter}`
}

/**
 * @param text - `wallMs.counter`
 * @returns the time, or undefined when the text is malformed
 * @public
 */
export function parseHybridTime (text: string): HybridTime | undefined {
  const match = /^(\d{1,16})\.(\d{1,10})$/.exec(text)
  return match === null ? undefined : { wallMs: Number(match[1]), counter: Number(match[2]) }
}

/**
 * @param a - a time
 * @param b - a time
 * @returns negative when `a` is before `b`
 * @public
 */
export function compareHybridTimes (a: HybridTime, b: HybridTime): number {
  return a.wallMs - b.wallMs || a.counter - b.counter
}
