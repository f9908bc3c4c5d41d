import { millis } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import { formatLoad, formatReference, parseLoad, parseReference } from './loadHeader'

const load = {
  slots: 4, limit: 2, inFlight: 2, queued: 1, verdict: 'sick', share: 0.05, resumeAfter: millis(0), errorRate: 0.25
} as const

describe('the load header', () => {
  // Guards against fields that are lost between admission and gateway.
  it('parses what it formats', () => {
    expect(parseLoad(formatLoad(load))).toEqual({ ...load, serviceMs: undefined, heldFor: undefined })
    const full = { ...load, serviceMs: 20.5, heldFor: millis(31) }
    expect(parseLoad(formatLoad(full))).toEqual(full)
    const reference = { serviceMs: 20, errorRate: 0.5 }
    expect(parseReference(formatReference(reference))).toEqual(reference)
  })

  // Guards against malformed headers that put NaN into the state.
  it.each([undefined, '', 'x', '4,2,2,1,well', '4,2,2,1,sick', '4,2,2,1,sick,x,0,0,,'])('rejects %j', (value) => {
    expect(parseLoad(value)).toBeUndefined()
    expect(parseReference(value)).toBeUndefined()
  })
})
