import { millis, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import type { LoadEffect } from './LoadEvent'
import type { LoadPlan, LoadStream } from './LoadPlan'
import { createLoadState, type LoadState } from './LoadState'
import { reduceLoad } from './reduceLoad'
import { summarise } from './summarise'

function makeStream (options: Partial<LoadStream> = {}): LoadStream {
  return {
    name: 'lookups',
    method: 'GET',
    path: '/stock',
    bodyBytes: 0,
    hasIdempotencyKey: false,
    ratePerSecond: 100,
    arrival: 'even',
    targets: [{ address: toId('127.0.0.1:1'), weight: 1 }],
    ...options
  }
}

function makePlan (options: Partial<LoadPlan> = {}): LoadPlan {
  return { streams: [makeStream()], duration: millis(1_000), seed: 1, maxInFlight: 1_000, ...options }
}

/** Runs a plan in virtual time; each request takes `latency` ms. */
function run (plan: LoadPlan, latency: number): { state: LoadState, finished: number } {
  const state = createLoadState(plan)
  let finished = 0
  const due: Array<{ at: number, run: () => LoadEffect[] }> = []
  const handle = (now: number, effects: LoadEffect[]): void => {
    for (const effect of effects) {
      if (effect.type === 'finish') finished += 1
      if (effect.type === 'wait') {
        const at = effect.until
        due.push({ at, run: () => reduceLoad(state, { type: 'due', at, stream: effect.stream }) })
      }
      if (effect.type !== 'send') continue
      const { stream, sequence } = effect
      const at = millis(now + latency)
      const outcome = { kind: 'answered', status: 200 } as const
      due.push({ at, run: () => reduceLoad(state, { type: 'ended', at, stream, sequence, outcome }) })
    }
  }
  handle(0, reduceLoad(state, { type: 'started', at: millis(0) }))
  while (due.length > 0) {
    due.sort((left, right) => left.at - right.at)
    const next = due.shift()!
    handle(next.at, next.run())
  }
  return { state, finished }
}

describe('reduceLoad', () => {
  it('keeps the request rate when responses are slow, to avoid coordinated omission', () => {
    const { state, finished } = run(makePlan(), 5_000)
    expect(summarise(state)[0]).toMatchObject({ sent: 99, answered: 99, notSent: 0 })
    expect(finished).toBe(1)
  })

  it('limits the requests in flight and counts the requests that were not sent', () => {
    const { state } = run(makePlan({ maxInFlight: 10 }), 5_000)
    expect(summarise(state)[0]).toMatchObject({ sent: 10, notSent: 89 })
  })

  it('generates the same arrivals for the same seed', () => {
    const plan = makePlan({ streams: [makeStream({ arrival: 'random' })] })
    expect(summarise(run(plan, 3).state)).toEqual(summarise(run(plan, 3).state))
  })
})
