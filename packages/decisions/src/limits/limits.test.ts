import {
  findRateExcess, makeCluster, makeClusterDocument, makeDocument, makeHandOver, makeState, makeTeam, recordSession
} from '@lavenderturn/fixtures'
import { type CallId, millis, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import { createEvent } from '../createEvent'
import { reduce } from '../reduce'
import { EqualStaticShareAllocation } from './EqualStaticShareAllocation'

describe('rate limits', () => {
  it('match a golden session with grant requests, a renewal, a recall, returns and a handover', async () => {
    const cluster = makeCluster({ domainCount: 1, nodesPerDomain: 3, team: makeTeam({ ratePerSecond: 8, burst: 12 }) })
    cluster.runFor(3_000)
    const lines = recordSession(cluster, new Set(['limits']))
    const [owner, first, second] = cluster.nodes
    for (let count = 0; count < 6; count++) cluster.plan(cluster.now + count * 120, () => { cluster.request(first!) })
    cluster.runFor(700)
    for (let count = 0; count < 4; count++) cluster.request(second!)
    cluster.runFor(600)
    cluster.leave(owner!)
    cluster.runFor(20)
    cluster.request(first!)
    cluster.runFor(2_000)
    await expect(lines.join('\n') + '\n').toMatchFileSnapshot('__golden__/limits.session.txt')
  })

  it('need no message per request for a team with steady load', () => {
    const cluster = makeCluster({ team: makeTeam({ ratePerSecond: 600, burst: 600 }) })
    cluster.runFor(3_000)
    const send = (): void => { cluster.request(cluster.nodes[1]!) }
    for (let count = 0; count < 2_000; count++) cluster.plan(cluster.now + count * 10, send)
    cluster.runFor(21_000)
    expect(cluster.admitted).toHaveLength(2_000)
    const calls = [...cluster.callCounts.values()].reduce((sum, count) => sum + count, 0)
    // Two renewals per second, and some grant requests after uneven arrivals.
    expect(calls).toBeLessThan(2_000 / 20)
  })

  it('need one call for a single request of a team, and keep no state once the team is idle', () => {
    const team = makeTeam({ ratePerSecond: 10, burst: 10 })
    const cluster = makeCluster({ domainCount: 1, team })
    cluster.runFor(3_000)
    const [owner, gateway] = cluster.nodes
    cluster.request(gateway!)
    cluster.runFor(12_000)
    expect([...cluster.callCounts]).toEqual([['askGrant', 1]])
    expect(gateway!.state.limits.limiters.size).toBe(0)
    expect([...owner!.state.limits.owned.values()].map(({ buckets }) => buckets.size)).toEqual([0])
  })

  it('refuse a request as over the rate if an owner answers, and as unreachable if none does', () => {
    const cluster = makeCluster({ domainCount: 1, nodesPerDomain: 2, team: makeTeam({ ratePerSecond: 1, burst: 1 }) })
    cluster.runFor(3_000)
    const [owner, gateway] = cluster.nodes
    cluster.request(gateway!)
    cluster.request(gateway!)
    cluster.runFor(1_000)
    cluster.network.cutLinks.add(`${gateway!.id}>${owner!.id}`)
    cluster.runFor(2_000)
    cluster.request(gateway!)
    cluster.runFor(1_000)
    expect(cluster.refused.map(({ result }) => result)).toEqual(['overRate', 'limitUnreachable'])
  })

  // Guards against: a new owner that issues grants while those of the old owner may still be in use.
  it('issue no grants for 4.1 s after a takeover, and issue them at once after a handover', () => {
    const cluster = makeCluster({ domainCount: 1, nodesPerDomain: 3 })
    cluster.runFor(3_000)
    const [owner] = cluster.listOwners()
    cluster.leave(owner!)
    cluster.runFor(1_000)
    const [successor] = cluster.listOwners()
    expect(successor).not.toBe(owner)
    const gateway = cluster.nodes.find((node) => node !== owner && node !== successor)!
    cluster.request(gateway)
    cluster.runFor(50)
    expect(cluster.admitted).toHaveLength(1)
    cluster.replaceOwner(successor!)
    cluster.runFor(1_000)
    cluster.request(gateway)
    cluster.runFor(2_500)
    expect(cluster.refused.map(({ result }) => result)).toEqual(['limitUnreachable'])
    cluster.runFor(1_500)
    cluster.request(gateway)
    cluster.runFor(300)
    expect(cluster.admitted).toHaveLength(2)
  })

  it('confirm a repeated handover without adding its tokens again', () => {
    const state = makeState()
    state.control.document = makeDocument()
    state.control.headReadAt = millis(0)
    const offer = makeHandOver({
      buckets: [{ team: toId('fes'), rate: 100, burst: 100, share: 1, room: 1, level: 5, grants: [] }]
    })
    const body = { slice: 'limits', type: 'handOverOffered', callId: toId<CallId>('call-1'), handOver: offer } as const
    reduce(state, createEvent(body, millis(1)))
    const [bucket] = [...state.limits.owned.values()][0]!.buckets.values()
    bucket!.level = 0
    const effects = reduce(state, createEvent(body, millis(2)))
    expect(effects).toContainEqual({
      slice: 'limits', type: 'answerHandOver', callId: toId('call-1'), result: 'confirmed'
    })
    expect([...state.limits.owned.values()][0]!.buckets.get(toId('fes'))!.level).toBe(0)
  })

  it('keep to a rate that is reduced while grants are in use', () => {
    const cluster = makeCluster({ domainCount: 2 })
    cluster.runFor(3_000)
    const arrive = (): void => {
      cluster.request(cluster.nodes[cluster.admitted.length % 4]!)
      cluster.plan(cluster.now + 4, arrive)
    }
    arrive()
    cluster.runFor(2_000)
    const reduced = { ratePerSecond: 10, burst: 5 }
    cluster.publishDocument(makeClusterDocument(makeTeam(reduced), cluster.document.domains, 2))
    cluster.runFor(500)
    const inForceAt = cluster.now
    cluster.runFor(5_000)
    const times = cluster.admitted.map(({ at }) => at).filter((at) => at >= inForceAt)
    expect(times.length).toBeGreaterThan(40)
    expect(findRateExcess(times, reduced)).toBeLessThan(1e-3)
  })

  it('are not granted by an owner that is not fresh', () => {
    const cluster = makeCluster({ domainCount: 1 })
    cluster.runFor(3_000)
    const [owner, gateway] = cluster.nodes
    owner!.isolated = true
    cluster.runFor(2_600)
    cluster.request(gateway!)
    cluster.runFor(1_000)
    expect(cluster.refused.map(({ result }) => result)).toEqual(['limitUnreachable'])
  })

  it('are not exceeded when a domain is removed from the declaration', () => {
    const team = makeTeam({ ratePerSecond: 300, burst: 150 })
    const cluster = makeCluster({ domainCount: 3, nodesPerDomain: 1, team })
    cluster.runFor(3_000)
    const arrive = (): void => {
      for (const node of cluster.nodes) cluster.request(node)
      cluster.plan(cluster.now + 4, arrive)
    }
    arrive()
    cluster.runFor(2_000)
    cluster.publishDocument(makeClusterDocument(team, cluster.document.domains.slice(0, 2), 2))
    cluster.runFor(8_000)
    expect(cluster.admitted.length).toBeGreaterThan(2_500)
    expect(findRateExcess(cluster.admitted.map(({ at }) => at), team)).toBeLessThan(1e-3)
  })

  it('give every node the same fixed share under the static baseline policy', () => {
    const policies = { shareAllocation: new EqualStaticShareAllocation() }
    const team = makeTeam({ ratePerSecond: 20, burst: 20 })
    const cluster = makeCluster({ domainCount: 1, nodesPerDomain: 4, team, policies })
    cluster.runFor(3_000)
    for (let count = 0; count < 20; count++) cluster.request(cluster.nodes[1]!)
    cluster.runFor(400)
    // A quarter of the burst, plus a quarter of the rate during the wait; the rest is refused although it is unused.
    expect(cluster.admitted.length).toBeGreaterThanOrEqual(5)
    expect(cluster.admitted.length).toBeLessThanOrEqual(7)
  })
})
