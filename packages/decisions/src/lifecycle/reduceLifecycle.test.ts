import { makeState } from '@lavenderturn/fixtures'
import { millis } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import { createEvent } from '../createEvent'
import type { EventBody } from '../NodeEvent'
import { reduce } from '../reduce'

describe('a planned stop', () => {
  function start () {
    const state = makeState()
    const step = (body: EventBody) => {
      return reduce(state, createEvent(body, millis(0))).map(({ slice, type }) => `${slice}/${type}`)
    }
    return { state, step }
  }

  const request: EventBody = { slice: 'lifecycle', type: 'drainRequested', grace: millis(6_000) }

  it('turns readiness off first, and closes ports only after the grace period with nothing open', () => {
    const { state, step } = start()
    expect(step(request)).toEqual([
      'lifecycle/setReadiness', 'lifecycle/closeAfterAnswers', 'log/stateChanged', 'timer/set'
    ])
    // Nothing is open now, but callers that have not heard of the stop may still come.
    expect(step({ slice: 'lifecycle', type: 'idleReached' })).toEqual([])
    expect(step({ slice: 'lifecycle', type: 'graceEnded' })).toEqual(['lifecycle/awaitIdle'])
    expect(step({ slice: 'lifecycle', type: 'idleReached' })).toEqual(['lifecycle/closeListeners'])
    expect(step({ slice: 'lifecycle', type: 'listenersClosed' })).toEqual(['lifecycle/exit'])
    expect(state.lifecycle.phase).toBe('stopped')
  })

  it('is not cut short or begun anew by a second signal', () => {
    const { step } = start()
    step(request)
    expect(step(request)).toEqual([])
    step({ slice: 'lifecycle', type: 'graceEnded' })
    expect(step(request)).toEqual([])
  })

  it('waits for holds, also for one that is placed while the last exchange ends', () => {
    const { step } = start()
    step(request)
    step({ slice: 'lifecycle', type: 'holdPlaced', hold: 'handOver' })
    expect(step({ slice: 'lifecycle', type: 'graceEnded' })).toEqual([])
    expect(step({ slice: 'lifecycle', type: 'holdReleased', hold: 'handOver' })).toEqual(['lifecycle/awaitIdle'])
    step({ slice: 'lifecycle', type: 'holdPlaced', hold: 'leave' })
    expect(step({ slice: 'lifecycle', type: 'idleReached' })).toEqual([])
    expect(step({ slice: 'lifecycle', type: 'holdReleased', hold: 'leave' })).toEqual(['lifecycle/awaitIdle'])
  })
})
