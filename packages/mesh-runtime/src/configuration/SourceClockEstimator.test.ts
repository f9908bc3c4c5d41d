import { type Millis, millis } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import { type ClockReading, SourceClockEstimator } from './SourceClockEstimator'

function clocks (steady: number, wall = steady): ClockReading {
  return { steadyAt: millis(steady), wallAt: millis(wall) }
}

/** The source's clock is 1,000 ms ahead of this process's clock. */
function storeTime (at: number): Millis {
  return millis(at + 1_000)
}

describe('SourceClockEstimator', () => {
  it('dates the first response to the start of its call, because the clock offset is unknown', () => {
    expect(new SourceClockEstimator().estimateResponseTime(clocks(0), clocks(3_000), storeTime(2_990)).steadyAt).toBe(0)
  })

  it('dates the response of a long call to its end after a short call', () => {
    const clock = new SourceClockEstimator()
    clock.estimateResponseTime(clocks(0), clocks(8), storeTime(4))
    expect(clock.estimateResponseTime(clocks(10), clocks(3_015), storeTime(3_010)).steadyAt).toBe(3_006)
  })

  it('never dates a response later than it was sent', () => {
    const clock = new SourceClockEstimator()
    clock.estimateResponseTime(clocks(0), clocks(200), storeTime(150))
    for (const [start, answered, end] of [[300, 310, 900], [1_000, 3_900, 4_000], [4_100, 4_101, 4_102]] as const) {
      expect(clock.estimateResponseTime(clocks(start), clocks(end), storeTime(answered)).steadyAt)
        .toBeLessThanOrEqual(answered)
    }
  })

  it('discards its estimate when the machine was suspended between two calls', () => {
    const clock = new SourceClockEstimator()
    clock.estimateResponseTime(clocks(0), clocks(8), storeTime(4))
    // The steady clock was stopped for 4 s.
    const located = clock.estimateResponseTime(clocks(100, 4_100), clocks(3_000, 7_000), storeTime(6_990))
    expect(located).toEqual(clocks(100, 4_100))
  })

  it('discards its estimate when the wall clock was set back', () => {
    const clock = new SourceClockEstimator()
    clock.estimateResponseTime(clocks(0), clocks(8), storeTime(4))
    expect(clock.estimateResponseTime(clocks(100, -1_900), clocks(3_000, 1_000), storeTime(2_990)).steadyAt).toBe(100)
  })
})
