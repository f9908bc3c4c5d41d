import { makeFleetConfiguration, MeshFleet, scheduleTraffic } from '@lavenderturn/fixtures/mesh'
import { millis } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import type { WorkOutcome } from '../admission/AdmissionEvent'

const STOP_MS = 2_000
const GRACE_MS = 6_000

/** Requests that are sent later than this after the signal must not be cut, whatever they take. */
const LATE_MS = 3_000

/** From when on runs have the late service time. */
const LATE_RUN_MS = 4_000

const SUCCESS: WorkOutcome = { kind: 'answered', failed: false }

const configuration = makeFleetConfiguration({
  routes: [
    { pathPrefix: '/lookup/', repeatable: true, timeout: millis(4_000) },
    { pathPrefix: '/order/', timeout: millis(4_000) }
  ]
})

interface Stop {
  readonly stopped?: readonly string[]
  readonly serviceMs?: number
  /** Service time of first runs that begin in the last part of the grace period. */
  readonly lateServiceMs?: number
  readonly seed?: number
}

/** Three nodes, some of which are stopped while their callers go on sending. */
function runStop ({ stopped = ['node-1'], serviceMs = 1_500, lateServiceMs = serviceMs, seed = 1 }: Stop): MeshFleet {
  const fleet: MeshFleet = new MeshFleet({
    configuration,
    slots: 40,
    seed,
    run: ({ at, requestId }) => {
      const isRepeat = fleet.runs.filter((run) => run.requestId === requestId).length > 1
      return { outcome: SUCCESS, afterMs: at < LATE_RUN_MS || isRepeat ? serviceMs : lateServiceMs }
    }
  })
  const kinds = [
    { name: 'lookup', path: '/lookup/', perSecond: 8 }, { name: 'order', path: '/order/', perSecond: 8 }
  ]
  scheduleTraffic(fleet, { kinds, nodes: ['node-1'], fromMs: 1_000, untilMs: STOP_MS + GRACE_MS, seed })
  for (const node of stopped) {
    fleet.schedule(STOP_MS, () => { fleet.dispatch(node, { slice: 'lifecycle', type: 'stopAsked' }) })
  }
  fleet.runUntil(STOP_MS + GRACE_MS)
  return fleet
}

/** Finds the requests that were sent while the process was running and have no result when it ends. */
function findCut (fleet: MeshFleet): string[] {
  const endedAt = fleet.ended.get('node-1')
  if (endedAt === undefined) throw new Error('node-1 has not ended')
  const answered = new Set(fleet.outcomes.map(({ requestId }) => requestId))
  return [...fleet.arrivals].filter(([id, at]) => at < endedAt && !answered.has(id)).map(([id]) => id)
}

describe('a planned stop', () => {
  // Guards against requests that come late in the grace period, are passed on and cut at its end.
  it.each([500, 1_500, 3_500])('passes on no request that comes late, and cuts none that takes %d ms', (serviceMs) => {
    const fleet = runStop({ serviceMs })
    expect(findCut(fleet)).toEqual([])
    const late = fleet.runs.filter(({ requestId }) => fleet.arrivals.get(requestId)! > STOP_MS + LATE_MS)
    expect(late).toEqual([])
  })

  // Guards against requests that wait for a slot when the grace period ends and get no answer.
  it.each([1, 2, 3])('tells requests that get no slot in time that they have not run, seed %d', (seed) => {
    const fleet = runStop({ stopped: ['node-1', 'node-2', 'node-3'], seed })
    expect(findCut(fleet)).toEqual([])
    const ran = new Set(fleet.runs.map(({ requestId }) => requestId))
    const waiting = fleet.outcomes.filter(({ requestId }) => !ran.has(requestId))
    expect(waiting.length).toBeGreaterThan(10)
    expect(waiting.every(({ result }) => result === 'noEndpoint' || result === 'draining')).toBe(true)
  })

  // Guards against requests that wait until the process ends although no server could finish them by then.
  it('tells them as soon as no server could run them to the end', () => {
    const fleet = runStop({ stopped: ['node-1', 'node-2', 'node-3'] })
    const latest = Math.max(...fleet.outcomes.map(({ at }) => at))
    expect(latest).toBeLessThanOrEqual(STOP_MS + GRACE_MS - 900)
  })

  // Guards against a running request that is given up for another server, which it could not end at before the process.
  it('does not give up a slow request for another attempt that could not end in time', () => {
    const fleet = runStop({ serviceMs: 1_000, lateServiceMs: 2_800 })
    const late = fleet.outcomes.filter(({ requestId }) => {
      const at = fleet.arrivals.get(requestId)!
      return at >= LATE_RUN_MS && at < LATE_RUN_MS + 600
    })
    expect(late.length).toBeGreaterThan(5)
    expect(late.filter(({ result }) => result !== 'answered')).toEqual([])
  })

  // Guards against a running request that is given up although nothing is known of its route's usual time, so that no
  // other attempt is started either.
  it('does not give up the first request of a route for another attempt that could not end by its deadline', () => {
    const routes = [{ pathPrefix: '/lookup/', repeatable: true, timeout: millis(1_600) }]
    const fleet = new MeshFleet({
      configuration: makeFleetConfiguration({ routes }), slots: 40, run: () => ({ outcome: SUCCESS, afterMs: 1_500 })
    })
    for (let index = 0; index < 6; index++) {
      fleet.schedule(1_000 + index * 100, () => { fleet.request('node-1', `lookup-${index}`, { path: '/lookup/a' }) })
    }
    fleet.runUntil(5_000)
    expect(fleet.outcomes).toHaveLength(6)
    expect(fleet.outcomes.filter(({ result }) => result !== 'answered')).toEqual([])
  })

  // Guards against callers that get a closed connection for a request that may have run.
  it('answers requests that are still running at the end of the grace period', () => {
    const fleet = runStop({ serviceMs: 8_000 })
    expect(findCut(fleet)).toEqual([])
  })

  // Guards against requests that are refused while callers have not noticed the stop.
  it('serves requests that come in its first seconds', () => {
    const fleet = runStop({})
    const early = fleet.outcomes.filter(({ requestId }) => fleet.arrivals.get(requestId)! < STOP_MS + 2_500)
    expect(early.length).toBeGreaterThan(20)
    expect(early.filter(({ result }) => result !== 'answered')).toEqual([])
  })
})
