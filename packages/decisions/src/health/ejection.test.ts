import {
  assignOwner, ErrorFault, makeTrafficIds, makeAnnouncement,
  makeTrafficFleet, makeTrafficDocument, makeMember, makeState, makeWork,
  runSession, type SessionEvent, SlowFault
} from '@lavenderturn/fixtures'
import { millis, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import { isAvoided, listCandidates } from './listCandidates'
import { findTrafficShare } from './findTrafficShare'

function failRequest (at: number, attempt: string): SessionEvent[] {
  return [
    [at, makeWork(attempt)],
    [at + 5, {
      slice: 'admission', type: 'workEnded', attemptId: toId(attempt), outcome: { kind: 'answered', status: 500 }
    }]
  ]
}

const tick = { slice: 'health', type: 'ticked' } as const

describe('the ejection of an unhealthy backend server', () => {
  // Guards against: unintended changes in how a server is ejected and returned to service.
  it('handles an ejection, a failed trial, another trial and a return because of the floor', async () => {
    const state = makeState()
    runSession(state, [[0, { slice: 'control', type: 'documentAccepted', document: makeTrafficDocument({}) }]])
    assignOwner({ state, timers: new Map(), reachable: true }, 0)
    runSession(state, [[0, {
      slice: 'membership',
      type: 'memberLearned',
      status: 'alive',
      record: makeMember({ nodeId: makeTrafficIds(0).node, endpoints: [] })
    }]])
    const answer = (at: number, askedAt: number, denied = false): SessionEvent => [at, {
      slice: 'health',
      type: 'permitAnswered',
      endpoint: toId('endpoint-a'),
      askedAt: millis(askedAt),
      answer: denied ? { kind: 'denied', reason: 'floor' } : { kind: 'granted', lifetime: millis(5_000) }
    }]
    const session = runSession(state, [
      [0, makeAnnouncement()],
      ...[1, 2, 3, 4, 5].flatMap((index) => failRequest(100 * index, `bad${index}`)),
      answer(510, 505),
      [520, makeWork('refused')],
      [2_600, tick],
      ...failRequest(2_700, 'trial1'),
      ...failRequest(2_800, 'trial2'),
      [3_100, tick],
      answer(3_110, 3_100),
      [5_700, tick],
      answer(5_710, 5_700),
      [6_900, tick],
      [6_950, makeWork('trial3')],
      [6_951, makeWork('busy')],
      [8_300, tick],
      answer(8_310, 8_300, true),
      [8_320, makeWork('served')]
    ])
    await expect(session).toMatchFileSnapshot('__golden__/ejection.txt')
  })

  // Guards against: an ejection without a permit.
  it('ejects nothing without an owner, while the endpoint policy diverts the traffic', () => {
    const fleet = makeTrafficFleet({ hasPermitOwner: false })
    fleet.backends.get(makeTrafficIds(3).endpoint)!.fault = new SlowFault()
    fleet.offerLoad({ team: toId('fes'), ratePerSecond: 200, until: millis(30_000) })
    fleet.runUntil(36_000)
    expect(fleet.logs.filter(({ message }) => message === 'backend server ejected')).toEqual([])
    const late = fleet.results.filter(({ arrivedAt }) => arrivedAt > 12_000)
    const slow = late.filter(({ arrivedAt, endedAt }) => endedAt - arrivedAt > 200)
    expect(slow.length / late.length).toBeLessThan(0.02)
  })

  // Guards against: an endpoint that stays ejected because no gateway has enough traffic to notice its recovery.
  it('returns a recovered endpoint to service even if the gateways have little traffic', () => {
    const fleet = makeTrafficFleet({ size: 12 })
    fleet.offerLoad({ team: toId('fes'), ratePerSecond: 60, until: millis(120_000) })
    fleet.runUntil(10_000)
    const backend = fleet.backends.get(makeTrafficIds(3).endpoint)!
    backend.fault = new ErrorFault(1)
    fleet.runUntil(25_000)
    backend.fault = undefined
    const { served } = backend
    fleet.runUntil(110_000)
    expect(fleet.logs.map(({ message }) => message)).toContain('backend server ejected')
    expect(fleet.nodes.get(makeTrafficIds(3).node)!.state.health.localServers.get(makeTrafficIds(3).endpoint)!.phase).toBe('serving')
    // An equal share of the last 30 s is 150 requests.
    expect(backend.served - served).toBeGreaterThan(100)
  })
})

describe('a gateway that knows of an ejection', () => {
  // Guards against: an ejected endpoint that still gets traffic, and one that gets no traffic any more because this
  // gateway receives no report of its return.
  it('sends nothing until the trial, then a small share, and the full share after 10 s without a report', () => {
    const fleet = makeTrafficFleet({})
    const { node, endpoint } = makeTrafficIds(3)
    const { state } = fleet.nodes.get(makeTrafficIds(0).node)!
    fleet.dispatch(makeTrafficIds(0).node, {
      slice: 'health',
      type: 'attemptEnded',
      endpoint,
      node,
      outcome: { kind: 'replied' },
      latency: millis(2),
      load: {
        slots: 4, limit: 1, inFlight: 0, queued: 0, verdict: 'sick', share: 0, resumeAfter: millis(2_000), errorRate: 1
      }
    })
    const shares = [0, 1_999, 2_001, 10_000, 10_001].map((at) => {
      state.now = millis(at)
      const listed = listCandidates(state, toId('stock'), new Set()).some((entry) => entry.endpoint.id === endpoint)
      return [findTrafficShare(state, endpoint), listed]
    })
    expect(shares).toEqual([[0, false], [0, false], [0.05, false], [0.05, false], [1, true]])
  })
})

describe('a path to an unreachable node', () => {
  // Guards against: a dead node on which every request fails once, and avoidance that leaves too few endpoints.
  it('is avoided at once, but only as far as the floor permits in the gateway\'s own view', () => {
    const fleet = makeTrafficFleet({ size: 6, floor: 0.8 })
    const gateway = fleet.nodes.get(makeTrafficIds(0).node)!.state
    for (const index of [4, 5]) fleet.nodes.get(makeTrafficIds(index).node)!.reachable = false
    fleet.offerLoad({ team: toId('fes'), ratePerSecond: 200, until: millis(3_000) })
    fleet.runUntil(3_000)
    const candidates = listCandidates(gateway, toId('stock'), new Set())
    // ceil(0.8 × 24) = 20 slots are needed: the 4 reachable endpoints have 16.
    expect(candidates).toHaveLength(5)
    expect(candidates.filter((entry) => isAvoided(gateway, entry))).toHaveLength(1)
    const failed = fleet.results.filter(({ result }) => result !== 'answered')
    expect(failed).toEqual([])
  })
})
