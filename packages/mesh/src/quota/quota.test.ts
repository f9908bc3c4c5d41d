import { atTime, makeFleetConfiguration, makeMeshState, MeshFleet } from '@lavenderturn/fixtures/mesh'
import { millis, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import { reduceMesh } from '../reduceMesh'

const RATE = 20
const BURST = 20
const WINDOW_MS = 5_000

/** Allowed requests in any window: rate and burst, exceeded by at most 10 % and 20 requests. */
const MAX_REQUESTS = (RATE * WINDOW_MS / 1_000 + BURST) * 1.1 + 20

type Deliver = (from: string, to: string, kind: string, now: number) => number | undefined

function makeFleet (deliver?: Deliver, dataCentres = 1, nodes = 6): MeshFleet {
  return new MeshFleet({
    nodes,
    identity: (index) => ({ dataCentre: toId(`dc-${index % dataCentres}`) }),
    slots: 200,
    configuration: makeFleetConfiguration({ teams: [{ id: toId('tent'), ratePerSecond: RATE, burst: BURST }] }),
    deliver: (from, to, message, now) => deliver === undefined ? 1 : deliver(from, to, message.kind, now)
  })
}

async function flood (fleet: MeshFleet, { from, until, perSecond }: {
  readonly from: number, readonly until: number, readonly perSecond: number
}): Promise<void> {
  let index = 0
  for (let at = from; at < until; at += 1_000 / perSecond) {
    const id = index++
    fleet.schedule(at, () => { fleet.request(`node-${1 + id % 6}`, `r${id}`) })
  }
  for (let at = from; at <= until + 3_000; at += 500) {
    fleet.runUntil(at)
    // Yields to the event loop, because Vitest needs a response from its worker within a minute.
    await new Promise((resolve) => { setImmediate(resolve) })
  }
  fleet.runUntil(until + 3_000)
}

function findBusiestWindow (fleet: MeshFleet): number {
  const times = fleet.runs.map(({ at }) => at)
  return Math.max(...times.map((at) => times.filter((other) => other >= at && other < at + WINDOW_MS).length))
}

describe('a team\'s rate', () => {
  it('admits every request of a team within its rate', async () => {
    const fleet = makeFleet()
    await flood(fleet, { from: 4_000, until: 14_000, perSecond: RATE * 0.9 })
    expect(fleet.outcomes.filter(({ result }) => result !== 'answered')).toEqual([])
  })

  it('admits every request of a team within its rate while owners reply after 100 ms, as on throttled machines', async () => {
    const fleet = makeFleet((from, to, kind) => kind === 'token' ? 100 : 1)
    await flood(fleet, { from: 4_000, until: 8_000, perSecond: RATE * 0.5 })
    expect(fleet.outcomes.filter(({ result }) => result !== 'answered')).toEqual([])
  })

  it('is used in full but not exceeded by a team that sends eight times as many requests', async () => {
    const fleet = makeFleet()
    await flood(fleet, { from: 4_000, until: 14_000, perSecond: RATE * 8 })
    expect(findBusiestWindow(fleet)).toBeLessThanOrEqual(MAX_REQUESTS)
    expect(fleet.runs.length).toBeGreaterThan(RATE * 9)
  })

  it('is not exceeded while two of six nodes are partitioned from the others', async () => {
    const partitioned = new Set(['node-5', 'node-6'])
    const fleet = makeFleet((from, to, kind, now) => {
      return now > 6_000 && now < 18_000 && (partitioned.has(from) || partitioned.has(to)) ? undefined : 1
    })
    await flood(fleet, { from: 4_000, until: 22_000, perSecond: RATE * 8 })
    expect(findBusiestWindow(fleet)).toBeLessThanOrEqual(MAX_REQUESTS)
  })

  // Covers every node, because only the pair that includes the owner of the team's rate can exceed it.
  const pairs = [['node-1', 'node-2'], ['node-3', 'node-4'], ['node-5', 'node-6']]

  it.each(pairs.flatMap((pair) => [1, 2].map((dataCentres) => ({ pair, dataCentres }))))(
    'is not exceeded while only datagrams sent by $pair are lost, in $dataCentres data centres',
    async ({ pair, dataCentres }) => {
      const fleet = makeFleet((from, to, kind, now) => {
        return now > 6_000 && now < 18_000 && pair.includes(from) ? undefined : 1
      }, dataCentres)
      await flood(fleet, { from: 4_000, until: 22_000, perSecond: RATE * 8 })
      expect(findBusiestWindow(fleet)).toBeLessThanOrEqual(MAX_REQUESTS)
    }
  )

  it.each(pairs.flatMap((pair) => [1, 2].map((dataCentres) => ({ pair, dataCentres }))))(
    'is not exceeded while only datagrams sent to $pair are lost, in $dataCentres data centres',
    async ({ pair, dataCentres }) => {
      const fleet = makeFleet((from, to, kind, now) => {
        return now > 6_000 && now < 18_000 && pair.includes(to) ? undefined : 1
      }, dataCentres)
      await flood(fleet, { from: 4_000, until: 22_000, perSecond: RATE * 8 })
      expect(findBusiestWindow(fleet)).toBeLessThanOrEqual(MAX_REQUESTS)
    }
  )
})

describe('a team\'s rate in a fleet in which most nodes exchange no heartbeats with other data centres', () => {
  const NODES = 30
  const partitioned = new Set(['node-5', 'node-6', 'node-12', 'node-13'])

  it('admits every request of a team within its rate', async () => {
    const fleet = makeFleet(undefined, 3, NODES)
    await flood(fleet, { from: 4_000, until: 10_000, perSecond: RATE * 0.9 })
    expect(fleet.outcomes.filter(({ result }) => result !== 'answered')).toEqual([])
  })

  it('is not exceeded while nodes or a data centre are partitioned from the others, or hear but are not heard', async () => {
    const cuts: ReadonlyArray<(from: string, to: string) => boolean> = [
      (from, to) => partitioned.has(from) !== partitioned.has(to),
      (from) => partitioned.has(from),
      (from, to) => (Number(from.slice(5)) % 3 === 0) !== (Number(to.slice(5)) % 3 === 0),
      (from, to) => Number(from.slice(5)) % 3 === 0 && Number(to.slice(5)) % 3 !== 0
    ]
    for (const isCut of cuts) {
      const fleet = makeFleet((from, to, kind, now) => {
        return now > 6_000 && now < 14_000 && isCut(from, to) ? undefined : 1
      }, 3, NODES)
      await flood(fleet, { from: 4_000, until: 17_000, perSecond: RATE * 6 })
      expect(findBusiestWindow(fleet)).toBeLessThanOrEqual(MAX_REQUESTS)
    }
  }, 120_000)
})

describe('buckets', () => {
  it('are removed with the teams that a later configuration no longer contains', () => {
    const state = makeMeshState({
      configuration: makeFleetConfiguration({ teams: [{ id: toId('tent'), ratePerSecond: RATE, burst: BURST }] })
    })
    const message = {
      kind: 'askToken', grant: toId<never>('g'), node: toId<never>('node-2'), replyTo: toId<never>('node-2:1'), team: toId<never>('tent')
    } as const
    reduceMesh(state, atTime({ slice: 'quota', type: 'tokenAsked', message }, 1))
    expect(state.quota.buckets.size).toBe(1)
    const configuration = makeFleetConfiguration({ revision: 2, teams: [] })
    const confirmed = { steadyAt: millis(2), wallAt: millis(2) }
    reduceMesh(state, atTime({ slice: 'configuration', type: 'configurationRead', configuration, confirmed }, 2))
    expect(state.quota.buckets.size).toBe(0)
  })
})
