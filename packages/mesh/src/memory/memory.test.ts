import { atTime, makeMeshState } from '@lavenderturn/fixtures/mesh'
import { toId } from '@lavenderturn/types'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { reduceMesh } from '../reduceMesh'
import type { MemoryEffect } from './MemoryEffect'
import type { MemoryPurpose, ShareStage } from './MemoryState'
import type { ShareId } from './ShareId'

const LIMIT = 100_000_000

const PIECE_BYTES = 50_000

interface ShareOptions {
  readonly stage?: ShareStage
  readonly purpose?: MemoryPurpose
}

/** An account of a node's memory, and what it has decided. */
interface AccountFixture {
  readonly state: MeshState
  readonly effects: MemoryEffect[]
  now: number
  readonly open: (name: string, bytes: number, options?: ShareOptions) => void
  readonly hold: (name: string, bytes: number) => void
  readonly take: (name: string, bytes: number, areFreed?: boolean) => void
  readonly enter: (name: string, stage: ShareStage) => void
  readonly close: (name: string) => void
  /** Runs the sweeps that are scheduled until a time. */
  readonly sweepUntil: (untilMs: number) => void
  readonly listNames: (type: MemoryEffect['type']) => string[]
}

function makeAccount (): AccountFixture {
  const state = makeMeshState({ bodyBytes: LIMIT })
  const effects: MemoryEffect[] = []
  let sweepAt: number | undefined
  const reduce = (body: Parameters<typeof atTime>[0]): void => {
    for (const effect of reduceMesh(state, atTime(body, fixture.now))) record(effect)
  }
  const record = (effect: MeshEffect): void => {
    if (effect.slice === 'memory') effects.push(effect)
    if (effect.slice === 'timer' && effect.type === 'set' && effect.id === 'memory/sweep') sweepAt = fixture.now + effect.delay
  }
  const share = (name: string): ShareId => toId(name)
  const fixture: AccountFixture = {
    state,
    effects,
    now: 0,
    open: (name, bytes, { stage = 'reading', purpose = 'response' } = {}) => {
      reduce({ slice: 'memory', type: 'shareOpened', share: share(name), purpose, stage, bytes, callerRequestId: name })
    },
    hold: (name, bytes) => { reduce({ slice: 'memory', type: 'bytesHeld', share: share(name), bytes }) },
    take: (name, bytes, areFreed = true) => {
      reduce({ slice: 'memory', type: 'bytesTaken', share: share(name), bytes, areFreed })
    },
    enter: (name, stage) => { reduce({ slice: 'memory', type: 'shareStaged', share: share(name), stage }) },
    close: (name) => { reduce({ slice: 'memory', type: 'shareClosed', share: share(name) }) },
    sweepUntil: (untilMs) => {
      while (sweepAt !== undefined && sweepAt <= untilMs) {
        fixture.now = sweepAt
        sweepAt = undefined
        reduce({ slice: 'memory', type: 'sweepDue' })
      }
      fixture.now = untilMs
    },
    listNames: (type) => effects.flatMap((effect) => effect.type === type && 'share' in effect ? [effect.share] : [])
  }
  return fixture
}

/** Reads bodies in small pieces, in turn, until none of them is read any more. */
function fill (account: AccountFixture, names: readonly string[], { stage = 'reading' as ShareStage } = {}): void {
  for (const name of names) account.open(name, PIECE_BYTES, { stage })
  for (let round = 0; round < LIMIT / PIECE_BYTES; round++) {
    for (const name of names) {
      const share = account.state.memory.shares.get(toId(name))
      if (share !== undefined && share.pausedSince === undefined) account.hold(name, PIECE_BYTES)
    }
  }
}

describe('the memory for bodies', () => {
  // Guards against a limit that turns away the largest body which the configuration allows.
  it('can be used by one body alone', () => {
    const account = makeAccount()
    account.open('small', 5_000_000, { stage: 'serving', purpose: 'request' })
    account.open('large', 90_000_000, { stage: 'receiving', purpose: 'request' })
    expect(account.effects).toEqual([])
  })

  // Guards against long responses that leave nothing for the next request.
  it.each([2, 5, 20])('is shared by %d long responses, and leaves some for the next', (count) => {
    const account = makeAccount()
    const names = Array.from({ length: count }, (_, index) => `response-${index}`)
    fill(account, names)
    expect(new Set(account.listNames('pause'))).toEqual(new Set(names))
    expect(account.listNames('evict')).toEqual([])
    const { usedBytes } = account.state.memory
    expect(usedBytes).toBeLessThan(LIMIT)
    account.open('next', 500_000)
    expect(account.listNames('evict')).toEqual([])
  })

  // Guards against responses that stand still although their receivers take them.
  it('is given back to responses that were paused', () => {
    const account = makeAccount()
    fill(account, ['a', 'b', 'c'])
    account.enter('a', 'writing')
    account.take('a', 25_000_000)
    expect(account.listNames('resume')).toContain('a')
    account.close('b')
    expect(account.listNames('resume')).toContain('c')
  })

  // Guards against a caller that loses its response while memory is used for one that was already delivered.
  it('is first taken from responses that are kept after their delivery', () => {
    const account = makeAccount()
    account.open('kept', 30_000_000)
    account.enter('kept', 'kept')
    account.open('large', 60_000_000, { stage: 'receiving', purpose: 'request' })
    account.open('next', 20_000_000)
    expect(account.listNames('evict')).toEqual(['kept'])
    expect(account.listNames('pause')).toEqual([])
  })

  // Guards against a request that is given up after a backend server may have run it.
  it('is never taken from a request that is being served', () => {
    const account = makeAccount()
    account.open('served', 90_000_000, { stage: 'serving', purpose: 'request' })
    account.open('next', 20_000_000, { stage: 'receiving', purpose: 'request' })
    expect(account.listNames('evict')).toEqual(['next'])
  })

  // Guards against uploads that all wait for each other's memory.
  it('is taken from the largest upload if another one has waited for a second', () => {
    const account = makeAccount()
    account.open('large', 60_000_000, { stage: 'receiving', purpose: 'request' })
    account.open('small', 35_000_000, { stage: 'receiving', purpose: 'request' })
    expect(account.listNames('pause')).toEqual(['small'])
    account.sweepUntil(900)
    expect(account.listNames('evict')).toEqual([])
    account.sweepUntil(1_600)
    expect([account.listNames('evict'), account.listNames('resume')]).toEqual([['large'], ['small']])
  })

  // Guards against uploads that each get a part of the memory, so that none of them gets what it needs.
  it('lets uploads that do not fit together complete one after the other', () => {
    const account = makeAccount()
    const names = Array.from({ length: 8 }, (_, index) => `upload-${index}`)
    const left = new Map(names.map((name) => [name, 25_000_000]))
    for (const name of names) account.open(name, PIECE_BYTES, { stage: 'receiving', purpose: 'request' })
    for (let round = 0; left.size > 0 && round < 20_000; round++) {
      for (const [name, bytes] of left) {
        const share = account.state.memory.shares.get(toId(name))
        if (share === undefined) left.delete(name)
        else if (bytes <= 0) {
          account.enter(name, 'serving')
          account.close(name)
          left.delete(name)
        } else if (share.pausedSince === undefined) {
          account.hold(name, PIECE_BYTES)
          left.set(name, bytes - PIECE_BYTES)
        }
      }
      account.sweepUntil(round)
    }
    expect(left.size).toBe(0)
    expect(account.listNames('evict')).toEqual([])
  })

  // Guards against a largest upload that cannot go on because others hold what it needs, and wait for it.
  it('is taken from the uploads that hold least if the largest one cannot go on', () => {
    const account = makeAccount()
    const names = Array.from({ length: 60 }, (_, index) => `upload-${index}`)
    fill(account, names, { stage: 'receiving' })
    account.sweepUntil(3_000)
    const largest = [...account.state.memory.shares.values()].sort((left, right) => right.bytes - left.bytes)[0]!
    expect(account.listNames('evict').length).toBeGreaterThan(0)
    expect(account.listNames('evict')).not.toContain(largest.id)
    expect(largest.pausedSince).toBeUndefined()
  })

  // Guards against callers that read nothing and keep the memory of others.
  it('is taken from callers that take less than the lowest rate for ten seconds while it is short', () => {
    const account = makeAccount()
    for (const name of ['slow', 'steady', 'other']) {
      account.open(name, 20_000_000)
      account.enter(name, 'writing')
    }
    for (let second = 1; second <= 14; second++) {
      for (const name of ['steady', 'other']) {
        for (let half = 0; half < 2; half++) account.take(name, 10_000, false)
      }
      account.sweepUntil(second * 1_000 - 1)
      for (const name of ['steady', 'other']) account.take(name, 10_000, false)
      if (second === 9) expect(account.listNames('evict')).toEqual([])
    }
    expect(account.effects.filter(({ type }) => type === 'evict')).toEqual([
      { slice: 'memory', type: 'evict', share: 'slow', reason: 'slow' }
    ])
  })

  // Guards against slow callers that are turned away while there is room for them.
  it('is not taken from slow callers while it is not short', () => {
    const account = makeAccount()
    account.open('slow', 30_000_000)
    account.enter('slow', 'writing')
    account.sweepUntil(60_000)
    expect(account.effects).toEqual([])
  })

  // Guards against a process that grows by what it has freed and not collected.
  it('is collected before freed memory and memory in use exceed it', () => {
    const account = makeAccount()
    for (let number = 0; number < 10; number++) {
      account.open(`response-${number}`, 40_000_000)
      account.close(`response-${number}`)
    }
    expect(account.effects.filter(({ type }) => type === 'collect').length).toBeGreaterThanOrEqual(3)
    expect(account.state.memory.uncollectedBytes).toBeLessThan(LIMIT)
  })

  // Guards against bytes that remain charged, or are freed twice, after some order of what can happen to bodies.
  it('is free again once all bodies have ended, whatever happened to them', () => {
    const names = ['a', 'b', 'c', 'd', 'e']
    const stages: ShareStage[] = ['receiving', 'serving', 'reading', 'writing', 'kept']
    const step = fc.record({
      name: fc.constantFrom(...names),
      action: fc.constantFrom('open', 'hold', 'take', 'enter', 'close', 'sweep'),
      bytes: fc.nat(40_000_000),
      stage: fc.constantFrom(...stages)
    })
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const account = makeAccount()
      const { memory } = account.state
      for (const { name, action, bytes, stage } of steps) {
        const share = memory.shares.get(toId(name))
        const own = share === undefined ? 0 : share.bytes - share.overheadBytes
        if (action === 'open' && share === undefined) account.open(name, bytes, { stage })
        if (action === 'hold') account.hold(name, bytes)
        if (action === 'take') account.take(name, Math.min(bytes, own))
        if (action === 'enter') account.enter(name, stage)
        if (action === 'close') account.close(name)
        if (action === 'sweep') account.sweepUntil(account.now + 500)
        const shares = [...memory.shares.values()]
        expect(memory.usedBytes).toBe(shares.reduce((sum, { bytes }) => sum + bytes, 0))
        expect(memory.keptBytes).toBe(shares.reduce((sum, { bytes, stage }) => sum + (stage === 'kept' ? bytes : 0), 0))
        const served = shares.reduce((sum, { bytes, stage }) => sum + (stage === 'serving' ? bytes : 0), 0)
        expect(memory.usedBytes).toBeLessThanOrEqual(Math.max(LIMIT, served))
        for (const paused of memory.paused) expect(memory.shares.get(paused.id)).toBe(paused)
      }
      for (const name of names) account.close(name)
      expect([memory.usedBytes, memory.keptBytes, memory.shares.size, memory.paused.size]).toEqual([0, 0, 0, 0])
    }), { seed: 11, numRuns: 500 })
  })
})
