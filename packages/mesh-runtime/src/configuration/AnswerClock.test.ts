import { type Millis, millis } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import { AnswerClock, type CallStart } from './AnswerClock'

function clocks (steady: number, wall = steady): CallStart {
  return { steadyAt: millis(steady), wallAt: millis(wall) }
}

/** The source's clock runs 1,000 ms ahead of this process's. */
function storeTime (at: number): Millis {
  return millis(at + 1_000)
}

describe('AnswerClock', () => {
  it('counts a first answer as of the start of its call: nothing is known of the source\'s clock', () => {
    expect(new AnswerClock().locate(clocks(0), clocks(3_000), storeTime(2_990)).steadyAt).toBe(0)
  })

  it('finds the end of a long call from a short one before it', () => {
    const clock = new AnswerClock()
    clock.locate(clocks(0), clocks(8), storeTime(4))
    expect(clock.locate(clocks(10), clocks(3_015), storeTime(3_010)).steadyAt).toBe(3_006)
  })

  it('never dates an answer later than it was given', () => {
    const clock = new AnswerClock()
    clock.locate(clocks(0), clocks(200), storeTime(150))
    for (const [start, answered, end] of [[300, 310, 900], [1_000, 3_900, 4_000], [4_100, 4_101, 4_102]] as const) {
      expect(clock.locate(clocks(start), clocks(end), storeTime(answered)).steadyAt).toBeLessThanOrEqual(answered)
    }
  })

  it('does not trust what it knew when the machine was suspended between two calls', () => {
    const clock = new AnswerClock()
    clock.locate(clocks(0), clocks(8), storeTime(4))
    // The steady clock stood still for 4 s.
    const located = clock.locate(clocks(100, 4_100), clocks(3_000, 7_000), storeTime(6_990))
    expect(located).toEqual(clocks(100, 4_100))
  })

  it('does not trust what it knew when the time of day was set back', () => {
    const clock = new AnswerClock()
    clock.locate(clocks(0), clocks(8), storeTime(4))
    expect(clock.locate(clocks(100, -1_900), clocks(3_000, 1_000), storeTime(2_990)).steadyAt).toBe(100)
  })
})
