import { CrashFault, makeTrafficFleet, makeState } from '@lavenderturn/fixtures'
import { type Fingerprint, millis, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import { createEvent } from '../createEvent'
import type { NodeState } from '../NodeState'
import { reduce } from '../reduce'
import { clearMark } from './clearMark'
import { describeCrashMarks } from './describeCrashMarks'
import { isQuarantined, isSuspect } from './isQuarantined'

const PRINT = toId<Fingerprint>('print')

function crash (state: NodeState, at: number, bootId: string, fingerprints: Fingerprint[] = [PRINT]): void {
  reduce(state, createEvent({
    slice: 'quarantine', type: 'crashObserved', endpoint: toId('endpoint-a'), bootId: toId(bootId), fingerprints
  }, millis(at)))
}

function hear (state: NodeState, at: number, from: NodeState): void {
  reduce(state, createEvent({ slice: 'quarantine', type: 'marksHeard', marks: describeCrashMarks(from) }, millis(at)))
}

describe('quarantine', () => {
  // Guards against: a request that crashes one backend server after the other.
  it('refuses a fingerprint for 10 minutes after two crashes', () => {
    const state = makeState()
    crash(state, 0, 'boot-1')
    expect([isSuspect(state, PRINT), isQuarantined(state, PRINT)]).toEqual([true, false])
    crash(state, 1_000, 'boot-1')
    expect(isQuarantined(state, PRINT)).toBe(false)
    crash(state, 2_000, 'boot-2')
    expect(isQuarantined(state, PRINT)).toBe(true)
    crash(state, 601_999, 'boot-1', [toId('other')])
    expect(isQuarantined(state, PRINT)).toBe(true)
    crash(state, 602_000, 'boot-1', [toId('other')])
    expect([isSuspect(state, PRINT), isQuarantined(state, PRINT)]).toEqual([false, false])
  })

  // Guards against: an innocent request in quarantine because it was in flight in two crashes far apart, also when
  // gossip brings the cleared mark back.
  it('clears a mark after a run that completed', () => {
    const state = makeState()
    const other = makeState()
    crash(state, 0, 'boot-1')
    hear(other, 10, state)
    clearMark(state, PRINT)
    hear(state, 20, other)
    expect(isSuspect(state, PRINT)).toBe(false)
    crash(state, 1_000, 'boot-2')
    expect([isSuspect(state, PRINT), isQuarantined(state, PRINT)]).toEqual([true, false])
    hear(other, 1_010, state)
    expect(isQuarantined(other, PRINT)).toBe(false)
  })

  // Guards against: crashes at different nodes that nobody adds up, and one crash that counts twice.
  it('adds up the crashes that gossip brings', () => {
    const [left, right] = [makeState(), makeState()]
    crash(left, 0, 'boot-1')
    hear(right, 5, left)
    hear(left, 6, right)
    expect(isQuarantined(left, PRINT)).toBe(false)
    crash(right, 10, 'boot-2')
    hear(left, 15, right)
    expect([isQuarantined(left, PRINT), isQuarantined(right, PRINT)]).toEqual([true, true])
  })

  // Guards against: a table that grows without bound, and a flood of marks that frees a quarantined fingerprint.
  it('keeps a bounded table and quarantined fingerprints in it', () => {
    const state = makeState()
    crash(state, 0, 'boot-1')
    crash(state, 1, 'boot-2')
    crash(state, 2, 'boot-3', Array.from({ length: 10_000 }, (_, index) => toId(`other-${index}`)))
    expect(state.quarantine.marks.size).toBeLessThanOrEqual(4_096)
    expect(isQuarantined(state, PRINT)).toBe(true)
    expect(describeCrashMarks(state).length).toBeLessThanOrEqual(64)
  })

  // Guards against: an automatic retry that carries the crash on, and a resend that is not refused.
  it('loses at most two backend servers to a request that is sent again and again', () => {
    const fleet = makeTrafficFleet({})
    for (const backend of fleet.backends.values()) backend.fault = new CrashFault(PRINT)
    fleet.offer({ team: toId('fes'), ratePerSecond: 100, until: millis(30_000) })
    for (let at = 5_000; at < 30_000; at += 2_500) {
      fleet.queue.schedule(at, () => { fleet.send({ team: toId('fes'), fingerprint: PRINT }) })
    }
    fleet.runUntil(36_000)
    const crashes = fleet.logs.filter(({ message }) => message === 'backend server refuses connections')
    const counts = (result: string): number => fleet.results.filter((entry) => entry.result === result).length
    expect(crashes).toHaveLength(2)
    expect(counts('quarantined')).toBe(8)
    // The two requests themselves and what was in flight beside them.
    expect(counts('outcomeUnknown')).toBeLessThanOrEqual(8)
    expect(fleet.countOpen()).toBe(0)
  })
})
