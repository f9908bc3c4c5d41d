import { CrashFault, makeTrafficFleet, makeState } from '@lavenderturn/fixtures'
import { type Fingerprint, millis, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import { createEvent } from '../createEvent'
import type { NodeState } from '../NodeState'
import { reduce } from '../reduce'
import { clearCrashes } from './clearCrashes'
import { describeCrashMarks } from './describeCrashMarks'
import { isQuarantined, isSuspect } from './isQuarantined'

const FINGERPRINT = toId<Fingerprint>('print')

function observeCrash (
  state: NodeState,
  at: number,
  bootId: string,
  fingerprints: Fingerprint[] = [FINGERPRINT]
): void {
  reduce(state, createEvent({
    slice: 'quarantine', type: 'crashObserved', endpoint: toId('endpoint-a'), bootId: toId(bootId), fingerprints
  }, millis(at)))
}

function receiveMarks (state: NodeState, at: number, sender: NodeState): void {
  reduce(state, createEvent({ slice: 'quarantine', type: 'marksHeard', marks: describeCrashMarks(sender) }, millis(at)))
}

describe('quarantine', () => {
  // Guards against: a request that is sent again and crashes one backend server after another.
  it('refuses a fingerprint for 10 minutes after two crashes', () => {
    const state = makeState()
    observeCrash(state, 0, 'boot-1')
    expect([isSuspect(state, FINGERPRINT), isQuarantined(state, FINGERPRINT)]).toEqual([true, false])
    observeCrash(state, 1_000, 'boot-1')
    expect(isQuarantined(state, FINGERPRINT)).toBe(false)
    observeCrash(state, 2_000, 'boot-2')
    expect(isQuarantined(state, FINGERPRINT)).toBe(true)
    observeCrash(state, 601_999, 'boot-1', [toId('other')])
    expect(isQuarantined(state, FINGERPRINT)).toBe(true)
    observeCrash(state, 602_000, 'boot-1', [toId('other')])
    expect([isSuspect(state, FINGERPRINT), isQuarantined(state, FINGERPRINT)]).toEqual([false, false])
  })

  // Guards against: quarantining a harmless request that was in flight during two separate crashes but completed in
  // between, also when gossip brings the cleared mark back.
  it('clears a mark after a request with the fingerprint completes', () => {
    const state = makeState()
    const other = makeState()
    observeCrash(state, 0, 'boot-1')
    receiveMarks(other, 10, state)
    clearCrashes(state, FINGERPRINT)
    receiveMarks(state, 20, other)
    expect(isSuspect(state, FINGERPRINT)).toBe(false)
    observeCrash(state, 1_000, 'boot-2')
    expect([isSuspect(state, FINGERPRINT), isQuarantined(state, FINGERPRINT)]).toEqual([true, false])
    receiveMarks(other, 1_010, state)
    expect(isQuarantined(other, FINGERPRINT)).toBe(false)
  })

  // Guards against: missing that crashes seen by different nodes have the same cause, and counting one crash twice.
  it('adds up crashes received by gossip', () => {
    const [left, right] = [makeState(), makeState()]
    observeCrash(left, 0, 'boot-1')
    receiveMarks(right, 5, left)
    receiveMarks(left, 6, right)
    expect(isQuarantined(left, FINGERPRINT)).toBe(false)
    observeCrash(right, 10, 'boot-2')
    receiveMarks(left, 15, right)
    expect([isQuarantined(left, FINGERPRINT), isQuarantined(right, FINGERPRINT)]).toEqual([true, true])
  })

  // Guards against: a table that grows without bound, and a flood of marks that evicts a quarantined fingerprint.
  it('bounds the table without evicting quarantined fingerprints', () => {
    const state = makeState()
    observeCrash(state, 0, 'boot-1')
    observeCrash(state, 1, 'boot-2')
    observeCrash(state, 2, 'boot-3', Array.from({ length: 10_000 }, (_, index) => toId(`other-${index}`)))
    expect(state.quarantine.marks.size).toBeLessThanOrEqual(4_096)
    expect(isQuarantined(state, FINGERPRINT)).toBe(true)
    expect(describeCrashMarks(state).length).toBeLessThanOrEqual(64)
  })

  // Guards against: an automatic retry that crashes another backend server, and a resend that is not refused.
  it('loses at most two backend servers to a request that is sent repeatedly', () => {
    const fleet = makeTrafficFleet({})
    for (const backend of fleet.backends.values()) backend.fault = new CrashFault(FINGERPRINT)
    fleet.offerLoad({ team: toId('fes'), ratePerSecond: 100, until: millis(30_000) })
    for (let at = 5_000; at < 30_000; at += 2_500) {
      fleet.queue.schedule(at, () => { fleet.send({ team: toId('fes'), fingerprint: FINGERPRINT }) })
    }
    fleet.runUntil(36_000)
    const crashes = fleet.logs.filter(({ message }) => message === 'backend server refuses connections')
    const counts = (result: string): number => fleet.results.filter((entry) => entry.result === result).length
    expect(crashes).toHaveLength(2)
    expect(counts('quarantined')).toBe(8)
    // The two crashing requests and those that were in flight with them.
    expect(counts('outcomeUnknown')).toBeLessThanOrEqual(8)
    expect(fleet.countOpenRequests()).toBe(0)
  })
})
