import { describe, expect, it } from 'vitest'
import { makeBackendConfig } from './BackendConfig'
import type { BackendEvent } from './BackendEvent'
import { createBackendState } from './BackendState'
import { describeLoadReport } from './describeLoadReport'
import { reduceBackend } from './reduceBackend'

describe('the stand-in of a backend server', () => {
  function start (options: Parameters<typeof makeBackendConfig>[0] = {}) {
    const state = createBackendState(makeBackendConfig(options))
    const receive = (id: number, at = 0) => {
      const request: BackendEvent = {
        type: 'requestReceived', id, method: 'GET', path: '/stock', headers: {}, expectsContinue: false, at
      }
      return [...reduceBackend(state, request), ...reduceBackend(state, { type: 'bodyReceived', id, bytes: 0, at })]
    }
    return { state, receive }
  }

  it('rejects requests beyond its slots without running them', () => {
    const { state, receive } = start({ slots: 1 })
    receive(1)
    expect(receive(2)).toMatchObject([{ type: 'answer', status: 503, headers: { 'lavenderturn-not-run': 'true' } }])
    expect(state.runs).toBe(1)
  })

  it('is slow after a cold start and gets faster with each run', () => {
    const { state, receive } = start({ warmRuns: 10, coldFactor: 10, serviceTimeMs: 10, slots: 100 })
    const delayOf = (id: number) => (receive(id)[0] as { delayMs: number }).delayMs
    expect(delayOf(1)).toBeGreaterThan(70)
    for (let id = 2; id < 12; id++) {
      receive(id)
      reduceBackend(state, { type: 'serviceEnded', id, at: 1 })
    }
    expect(delayOf(20)).toBeLessThan(15)
  })

  it('crashes under overload while it is cold, and restarts with a new boot id', () => {
    const { state, receive } = start({ warmRuns: 100, crashesWhenOverloaded: true, slots: 8 })
    const { bootId } = state
    receive(1)
    receive(2)
    expect(receive(3)).toEqual([{ type: 'crash' }])
    reduceBackend(state, { type: 'restarted', at: 5 })
    expect(state.bootId).not.toBe(bootId)
    expect(state.inFlight).toBe(0)
  })

  it('reports outdated or false load if the modes say so', () => {
    const { state, receive } = start()
    receive(1, 100)
    expect(describeLoadReport(state, 200).inFlight).toBe(1)
    reduceBackend(state, { type: 'modesSet', modes: { reportLagMs: 1_000 }, at: 200 })
    expect(describeLoadReport(state, 200).inFlight).toBe(0)
    reduceBackend(state, { type: 'modesSet', modes: { report: 'busy' }, at: 200 })
    expect(describeLoadReport(state, 200)).toMatchObject({ inFlight: 4, healthy: false })
  })

  it('draws the same faults with the same seed', () => {
    const draw = (seed: number) => {
      const { receive } = start({ seed, slots: 1_000, modes: { shedRate: 0.5 } })
      return Array.from({ length: 50 }, (_, id) => receive(id)[0]?.type).join()
    }
    expect(draw(3)).toBe(draw(3))
    expect(draw(3)).not.toBe(draw(4))
  })
})
