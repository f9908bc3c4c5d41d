import { createEvent, type EventBody } from '@lavenderturn/decisions'
import { makeIdentity } from '@lavenderturn/fixtures'
import { millis, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import { compareHybridTimes, HybridClock, parseHybridTime } from './HybridClock'
import { Journal } from './Journal'

describe('the journal', () => {
  function makeArrival (options: Partial<Extract<EventBody, { type: 'requestArrived' }>> = {}) {
    return createEvent({
      slice: 'gateway',
      type: 'requestArrived',
      requestId: toId('r1'),
      method: 'GET',
      path: '/stock',
      keyInTarget: false,
      fingerprint: toId('f'),
      ...options
    }, millis(0))
  }

  it('is bounded, and reports how many records were dropped', () => {
    const journal = new Journal({ identity: makeIdentity(), capacity: 3 })
    for (let count = 0; count < 5; count++) journal.observe(makeArrival(), [])
    const { firstSeq, nextSeq, records } = journal.read()
    expect({ firstSeq, nextSeq }).toEqual({ firstSeq: 2, nextSeq: 5 })
    expect(records.map(({ seq }) => seq)).toEqual([2, 3, 4])
  })

  it('keeps no field of a request that can contain a key', () => {
    const journal = new Journal({ identity: makeIdentity() })
    journal.observe(makeArrival({
      path: '/stock/SECRET', keyInTarget: true, idempotencyKey: toId('SECRET'), keyHash: toId('SECRET')
    }), [{ slice: 'gateway', type: 'refuse', requestId: toId('r1'), result: 'internal', run: 'unknown', detail: 'SECRET' }])
    expect(JSON.stringify(journal.read())).not.toContain('SECRET')
  })
})

describe('the hybrid clock', () => {
  it('orders an effect after its cause when the clock of its process is behind', () => {
    const ahead = new HybridClock(() => 5_000)
    const behind = new HybridClock(() => 1_000)
    const cause = ahead.stamp()
    behind.receive(cause)
    const effect = behind.next()
    expect(compareHybridTimes(parseHybridTime(cause)!, effect)).toBeLessThan(0)
    expect(compareHybridTimes(effect, behind.next())).toBeLessThan(0)
  })

  it('does not go back when the wall clock does', () => {
    let wallMs = 2_000
    const clock = new HybridClock(() => wallMs)
    const before = clock.next()
    wallMs = 1_000
    expect(compareHybridTimes(before, clock.next())).toBeLessThan(0)
  })

  it.each(['', 'x', '1', '1.x', '99999999999999.0', '1.2.3'])('ignores "%s"', (value) => {
    const clock = new HybridClock(() => 1_000)
    clock.receive(value)
    expect(clock.next().wallMs).toBe(1_000)
  })
})
