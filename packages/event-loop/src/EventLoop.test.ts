import { toId, millis } from '@lavenderturn/types'
import { afterEach, describe, expect, it } from 'vitest'
import { EventLoop } from './EventLoop'
import { TimerTable } from './TimerTable'

let loop: EventLoop<string, string> | undefined

afterEach(() => { loop?.stop() })

describe('EventLoop', () => {
  it('reduces an event that a step dispatches only after that step has ended', () => {
    const steps: string[] = []
    loop = new EventLoop<string, string>({
      addTimestamp: (body) => body,
      step: (event) => {
        steps.push(`begin ${event}`)
        if (event === 'a') loop!.dispatch('b')
        steps.push(`end ${event}`)
      }
    })
    loop.dispatch('a')
    expect(steps).toEqual(['begin a', 'end a', 'begin b', 'end b'])
  })

  it('continues with the next event after a step throws', () => {
    const steps: string[] = []
    loop = new EventLoop<string, string>({
      addTimestamp: (body) => body,
      step: (event) => {
        steps.push(event)
        if (event === 'a') throw new Error('invariant')
      }
    })
    expect(() => { loop!.dispatch('a') }).toThrow('invariant')
    loop.dispatch('b')
    expect(steps).toEqual(['a', 'b'])
  })
})

describe('TimerTable', () => {
  it('replaces a timer with the same id and does not fire cleared timers', async () => {
    const fired: string[] = []
    const timers = new TimerTable<string>((body) => { fired.push(body) })
    timers.set(toId('a'), millis(5), 'first')
    timers.set(toId('a'), millis(10), 'second')
    timers.set(toId('b'), millis(5), 'cleared')
    timers.clear(toId('b'))
    await new Promise((resolve) => { setTimeout(resolve, 60) })
    expect(fired).toEqual(['second'])
  })
})
