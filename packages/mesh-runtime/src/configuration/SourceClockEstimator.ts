import type { Confirmation } from '@lavenderturn/mesh'
import { type Millis, millis } from '@lavenderturn/types'

/** A reading of both clocks of this process. @internal */
export type ClockReading = Confirmation

/** A larger change in the difference between the two clocks means that one of them was stopped or set. */
const CLOCK_TOLERANCE_MS = 200

/**
 * Estimates when the source sent a response, on this process's clocks. A call that waits for a change may take seconds
 * and its response reflects the state at its end, so the start of the call alone is too early. Each call bounds the
 * offset between the source's clock and this process's clocks, because no response is sent before its call.
 *
 * @internal
 */
export class SourceClockEstimator {
  /** Smallest upper bounds of the offset between the source's clock and this process's clocks, over all calls. */
  private steadyOffset = Number.POSITIVE_INFINITY
  private wallOffset = Number.POSITIVE_INFINITY
  /** Difference between the wall clock and the steady clock of this process after the previous call. */
  private wallSteadyDifference: number | undefined

  /** Whether the offset is known: a call must have completed since the clocks were last set. */
  get isCalibrated (): boolean {
    return Number.isFinite(this.steadyOffset)
  }

  /** Forgets the offset, because the source may have another clock from now on. */
  reset (): void {
    this.steadyOffset = Number.POSITIVE_INFINITY
    this.wallOffset = Number.POSITIVE_INFINITY
  }

  /**
   * @param now - both clocks now
   * @returns whether one of them was stopped or set since the latest response
   */
  hasJumped (now: ClockReading): boolean {
    return this.wallSteadyDifference !== undefined &&
      Math.abs(now.wallAt - now.steadyAt - this.wallSteadyDifference) > CLOCK_TOLERANCE_MS
  }

  /**
   * @param start - when the call was sent
   * @param end - when its response arrived
   * @param storeTime - the source's clock when it responded
   * @returns a time no later than the response, on both clocks
   */
  estimateResponseTime (start: ClockReading, end: ClockReading, storeTime: Millis): Confirmation {
    const elapsedMs = end.steadyAt - start.steadyAt
    this.wallSteadyDifference ??= start.wallAt - start.steadyAt
    const jumped = this.hasJumped(end)
    this.wallSteadyDifference = end.wallAt - end.steadyAt
    if (jumped) {
      // The machine was suspended or its time was set, so the known bounds no longer hold.
      this.reset()
      return start
    }
    this.steadyOffset = Math.min(this.steadyOffset, storeTime - start.steadyAt)
    this.wallOffset = Math.min(this.wallOffset, storeTime - start.wallAt)
    const age = Math.max(
      end.steadyAt - (storeTime - this.steadyOffset), end.wallAt - (storeTime - this.wallOffset), 0
    )
    const boundedAge = Math.min(age, elapsedMs)
    return { steadyAt: millis(end.steadyAt - boundedAge), wallAt: millis(end.wallAt - boundedAge) }
  }
}
