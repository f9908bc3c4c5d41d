import { makeFleetConfiguration, MeshFleet } from '@lavenderturn/fixtures/mesh'
import { millis, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import type { WorkOutcome } from '../admission/AdmissionEvent'

const SUCCESS: WorkOutcome = { kind: 'answered', failed: false }

const SLOTS = 6
const SERVERS = ['node-2', 'node-3']
const USUAL_MS = 570
const TIMEOUT_MS = 6_000

/** Requests that wait for a slot at any time; the wait is twice the usual service time. */
const BACKLOG = 2 * SLOTS * SERVERS.length

const STOP_MS = 8_000
const GRACE_MS = 6_000

/** In the last sixth of the grace period a request may be cut. */
const EXCUSED_FROM_MS = GRACE_MS * 5 / 6

/** When the stopped node receives its last lookups. Its callers notice the stop after two seconds. */
const LOOKUP_TIMES = [1_100, 1_250, 1_400, 1_550, 1_700, 1_850].map((afterMs) => STOP_MS + afterMs)

/**
 * Plays two servers whose queues stand at a constant length, and a stop of a third node whose last lookups need a slot
 * at them.
 *
 * @param lookupMs - service time of the lookups of the stopped node
 * @returns the fleet after the stop
 */
function runStopUnderBacklog (lookupMs: number): MeshFleet {
  const fleet = new MeshFleet({
    configuration: makeFleetConfiguration({
      routes: [{ pathPrefix: '/lookup/', repeatable: true, timeout: millis(TIMEOUT_MS) }]
    }),
    identity: (index) => ({ service: toId(index === 1 ? 'front' : 'stock') }),
    slots: SLOTS,
    run: ({ requestId }) => ({ outcome: SUCCESS, afterMs: requestId.startsWith('own-') ? lookupMs : USUAL_MS })
  })
  let number = 0
  const sendLoad = (count: number): void => {
    for (let index = 0; index < count; index++) {
      fleet.request(SERVERS[index % SERVERS.length]!, `load-${number++}`, { path: '/lookup/a' })
    }
  }
  fleet.schedule(2_000, () => { sendLoad(BACKLOG) })
  // As many requests come as are served, so that the queues stay as long as they are.
  for (let at = 2_010; at < STOP_MS + GRACE_MS; at += USUAL_MS / (SLOTS * SERVERS.length)) {
    fleet.schedule(at, () => { sendLoad(1) })
  }
  for (const [index, at] of LOOKUP_TIMES.entries()) {
    fleet.schedule(at, () => { fleet.request('node-1', `own-${index}`, { path: '/lookup/b' }) })
  }
  fleet.schedule(STOP_MS, () => { fleet.dispatch('node-1', { slice: 'lifecycle', type: 'stopAsked' }) })
  fleet.runUntil(STOP_MS + GRACE_MS)
  return fleet
}

describe('a planned stop while the queues of the servers stand', () => {
  // Guards against lookups of a stopping node that wait behind requests with more time, begin too late to end before
  // its process, and are answered 502 while their servers are at work.
  it.each([600, 1_200, 2_400, 2_900])('answers the last lookups of the stopping node that take %d ms', (lookupMs) => {
    const fleet = runStopUnderBacklog(lookupMs)
    const own = fleet.outcomes.filter(({ requestId }) => requestId.startsWith('own-'))
    expect(own).toHaveLength(LOOKUP_TIMES.length)
    expect(own.filter(({ result }) => result !== 'answered')).toEqual([])
    expect(Math.max(...own.map(({ at }) => at))).toBeLessThan(STOP_MS + EXCUSED_FROM_MS)
  })

  // Guards against a queue that does not stand, in which case the test above could not fail.
  it('lets other lookups wait for longer than their service time', () => {
    const fleet = runStopUnderBacklog(600)
    const waits = fleet.runs.filter(({ requestId, at }) => requestId.startsWith('load-') && at > STOP_MS && at < STOP_MS + 4_000)
      .map(({ requestId, at }) => at - fleet.arrivals.get(requestId)!)
    expect(waits.length).toBeGreaterThan(50)
    expect(waits.reduce((sum, wait) => sum + wait, 0) / waits.length).toBeGreaterThan(USUAL_MS)
  })
})
