import {
  type Cluster, type ClusterNode, findRateExcess, makeCluster, makeClusterDocument, makeRunParameters, makeTeam,
  type RateBound
} from '@lavenderturn/fixtures'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'

/** Floating-point rounding errors, summed over a run. */
const EXCESS_TOLERANCE = 1e-3

/** Simulated time until the first owners have full buckets in all scenarios. */
const WARM_UP_MS = 3_000

const faults = [
  'pause', 'pauseAndReplace', 'resume', 'cut', 'heal', 'kill', 'isolate', 'leave', 'storeDown', 'storeUp', 'revise',
  'burst', 'calm'
] as const

const scenario = fc.record({
  seed: fc.nat(),
  domainCount: fc.integer({ min: 1, max: 3 }),
  nodesPerDomain: fc.integer({ min: 1, max: 3 }),
  ratePerSecond: fc.constantFrom(1, 4, 20, 60),
  burst: fc.constantFrom(1, 3, 10, 60),
  load: fc.constantFrom(0.7, 1, 2, 4),
  network: fc.record({
    lossRate: fc.constantFrom(0, 0.02, 0.2),
    duplicateRate: fc.constantFrom(0, 0.1, 0.3),
    lateRate: fc.constantFrom(0, 0.05, 0.2)
  }),
  steps: fc.array(
    fc.record({
      fault: fc.constantFrom(...faults), node: fc.nat(8), other: fc.nat(8), wait: fc.integer({ min: 20, max: 3_000 })
    }),
    { minLength: 2, maxLength: 12 }
  )
})

type Scenario = typeof scenario extends fc.Arbitrary<infer Value> ? Value : never
type Step = Scenario['steps'][number]

describe('a team\'s rate over all nodes', () => {
  it('is not exceeded in any time window under random faults', () => {
    fc.assert(fc.property(scenario, (run) => {
      const cluster = makeCluster({ ...run, team: makeTeam({ ...run }) })
      let bound: RateBound = run
      schedulePoissonArrivals(cluster, run.load * run.ratePerSecond)
      cluster.runFor(WARM_UP_MS)
      for (const step of run.steps) {
        applyStep(cluster, step)
        // In a window that spans two revisions, the larger values are an upper bound for both.
        if (step.fault === 'revise') {
          const next = reviseRate(cluster, run, step)
          bound = {
            ratePerSecond: Math.max(bound.ratePerSecond, next.ratePerSecond), burst: Math.max(bound.burst, next.burst)
          }
        }
        cluster.runFor(step.wait)
      }
      for (const node of cluster.nodes) cluster.resume(node)
      cluster.runFor(6_000)
      expect(findRateExcess(cluster.admitted.map(({ at }) => at), bound)).toBeLessThan(EXCESS_TOLERANCE)
    }), makeRunParameters(150))
  }, 300_000)

  it('is available to a team within its rate, however unevenly its requests arrive', () => {
    const withinRate = fc.record({
      seed: fc.nat(),
      domainCount: fc.integer({ min: 1, max: 3 }),
      nodesPerDomain: fc.integer({ min: 1, max: 4 }),
      ratePerSecond: fc.constantFrom(1, 4, 20, 100),
      // Added to a burst of at least one second of the rate and four tokens per domain. A smaller burst is used up by
      // tokens in transit between owners and gateways.
      extraBurst: fc.constantFrom(0, 5, 100),
      // Milliseconds for which one node gets all requests before another one does.
      stickiness: fc.constantFrom(0, 300, 2_000)
    })
    fc.assert(fc.property(withinRate, ({ extraBurst, ...rest }) => {
      const run = { ...rest, burst: Math.max(rest.ratePerSecond, 4 * rest.domainCount) + extraBurst }
      const cluster = makeCluster({ ...run, team: makeTeam({ ...run }) })
      cluster.runFor(WARM_UP_MS + 1_000 * run.burst / run.ratePerSecond)
      scheduleRequestsWithinRate(cluster, run)
      cluster.runFor(20_000)
      expect(cluster.refused.map(({ at, requestId, result }) => ({ at, requestId, result }))).toEqual([])
    }), makeRunParameters(150))
  }, 300_000)
})

function schedulePoissonArrivals (cluster: Cluster, perSecond: number): void {
  const arrive = (): void => {
    cluster.request(pickNode(cluster, cluster.network.draw() * 1e6))
    cluster.plan(cluster.now - Math.log(1 - cluster.network.draw()) * 1_000 / perSecond, arrive)
  }
  arrive()
}

interface WithinRateScenario {
  readonly ratePerSecond: number
  readonly burst: number
  readonly stickiness: number
}

/**
 * Schedules requests that a bucket with 90 % of the rate and 80 % of the burst admits, at random times and in bursts.
 * The rest is taken by tokens in transit between owners and gateways and by burst shares that return only by expiry.
 */
function scheduleRequestsWithinRate (cluster: Cluster, { ratePerSecond, burst, stickiness }: WithinRateScenario): void {
  const cap = Math.max(1, burst * 0.8)
  const rate = ratePerSecond * 0.9
  let level = cap
  let node = pickNode(cluster, 0)
  let moveAt = 0
  const step = (): void => {
    if (cluster.now >= moveAt) {
      node = pickNode(cluster, cluster.network.draw() * 1e6)
      moveAt = cluster.now + stickiness
    }
    while (level >= 1 && cluster.network.draw() < 0.8) {
      level -= 1
      cluster.request(node)
    }
    const wait = cluster.network.draw() * 2_000 / ratePerSecond
    level = Math.min(cap, level + wait * rate / 1_000)
    cluster.plan(cluster.now + wait, step)
  }
  step()
}

function pickNode (cluster: Cluster, index: number): ClusterNode {
  const alive = cluster.nodes.filter((node) => node.alive)
  return alive[Math.floor(index) % alive.length]!
}

function reviseRate (cluster: Cluster, run: Scenario, step: Step): RateBound {
  const ratePerSecond = run.ratePerSecond * (1 + step.node) / 4
  const next = { ratePerSecond, burst: Math.max(1, run.burst * (1 + step.other) / 4) }
  cluster.publishDocument(makeClusterDocument(makeTeam(next), cluster.document.domains, cluster.document.revision + 1))
  return next
}

function applyStep (cluster: Cluster, step: Step): void {
  const node = cluster.nodes[step.node % cluster.nodes.length]!
  const other = cluster.nodes[step.other % cluster.nodes.length]!
  const owners = cluster.listOwners()
  const owner = owners[step.node % owners.length]!
  switch (step.fault) {
    case 'pause':
      cluster.pause(node)
      break
    case 'pauseAndReplace':
      cluster.pause(owner)
      cluster.replaceOwner(owner)
      break
    case 'resume':
      for (const paused of cluster.nodes) cluster.resume(paused)
      break
    case 'cut':
      cluster.network.cutLinks.add(`${node.id}>${other.id}`)
      break
    case 'heal':
      cluster.network.cutLinks.clear()
      for (const isolated of cluster.nodes) isolated.isolated = false
      break
    case 'kill':
      if (cluster.nodes.filter(({ alive }) => alive).length > 2) cluster.kill(owner)
      break
    case 'isolate':
      owner.isolated = true
      cluster.replaceOwner(owner)
      break
    case 'leave':
      cluster.leave(owner)
      break
    case 'storeDown':
      cluster.storeUnavailable = true
      break
    case 'storeUp':
      cluster.storeUnavailable = false
      break
    case 'burst':
      for (let count = 0; count < 30; count++) cluster.request(pickNode(cluster, step.node + (count % 3)))
  }
}
