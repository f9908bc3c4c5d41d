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

  // Guards against: requests refused at closed ports, because callers did not yet know of the stop.
  it('first becomes unready, and closes the ports only after the grace period when no exchange is open', () => {
    const { state, step } = start()
    expect(step(request)).toEqual([
      'lifecycle/setReadiness', 'lifecycle/closeAfterAnswers', 'log/stateChanged', 'timer/set'
    ])
    // No exchange is open, but callers that do not know of the stop yet may still send requests.
    expect(step({ slice: 'lifecycle', type: 'idleReached' })).toEqual([])
    expect(step({ slice: 'lifecycle', type: 'graceEnded' })).toEqual(['lifecycle/awaitIdle'])
    expect(step({ slice: 'lifecycle', type: 'idleReached' })).toEqual(['lifecycle/closeListeners'])
    expect(step({ slice: 'lifecycle', type: 'listenersClosed' })).toEqual(['lifecycle/exit'])
    expect(state.lifecycle.phase).toBe('stopped')
  })

  // Guards against: a repeated request that ends the grace period early or starts it again.
  it('is neither shortened nor restarted by a second request', () => {
    const { step } = start()
    step(request)
    expect(step(request)).toEqual([])
    step({ slice: 'lifecycle', type: 'graceEnded' })
    expect(step(request)).toEqual([])
  })

  // Guards against: ports that close before ownership has been handed over.
  it('waits for holds, including one that is placed while the last exchange ends', () => {
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
