import { type AttemptOutcome, type Cluster, makeCluster, makeRunParameters, makeTeam } from '@lavenderturn/fixtures'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'

/** The rate is high enough that no request of these runs is refused for it. */
const team = makeTeam({ ratePerSecond: 10_000, burst: 10_000 })

/** Number of idempotency keys that the requests share. */
const KEY_COUNT = 4

const scenario = fc.record({
  seed: fc.nat(),
  domainCount: fc.constantFrom(1, 2, 3, 5),
  network: fc.record({
    lossRate: fc.constantFrom(0, 0.05, 0.3),
    duplicateRate: fc.constantFrom(0, 0.1, 0.4),
    lateRate: fc.constantFrom(0, 0.1, 0.4)
  }),
  ends: fc.array(fc.constantFrom<AttemptOutcome>('answered', 'broken', 'notRun'), { minLength: 1, maxLength: 6 }),
  steps: fc.array(fc.record({
    fault: fc.constantFrom(
      'none', 'killOwner', 'killGateway', 'pauseOwner', 'replaceOwner', 'replaceTwo', 'resume', 'leave', 'cut', 'heal'
    ),
    node: fc.nat(14),
    other: fc.nat(14),
    wait: fc.integer({ min: 1, max: 6_000 })
  }), { minLength: 3, maxLength: 14 })
})

type Scenario = typeof scenario extends fc.Arbitrary<infer Value> ? Value : never

describe('an idempotency key within the retention time', () => {
  // Guards against: a key that runs twice after lost, duplicated or late messages, crashes, pauses or changes of owner.
  it('never runs twice, whatever happens to gateways and owners', () => {
    fc.assert(fc.property(scenario, (run) => {
      const cluster = startCluster(run)
      run.steps.forEach((step, index) => {
        applyStep(cluster, step)
        for (let count = 0; count < 3; count++) sendKeyed(cluster, step.node + count, (index + count) % KEY_COUNT)
        cluster.runFor(step.wait)
      })
      for (const node of cluster.nodes) cluster.resume(node)
      sendAll(cluster)
      cluster.runFor(10_000)
      sendAll(cluster)
      cluster.runFor(10_000)
      expect(findDoubleRuns(cluster)).toEqual([])
    }), makeRunParameters(300))
  }, 300_000)

  // Guards against: records that are lost because a new owner did not copy them.
  it('is refused with the outcome of the first run while owners are lost one after another', () => {
    const cluster = startCluster({ seed: 7, domainCount: 3, ends: ['answered'] })
    sendKeyed(cluster, 0, 0)
    cluster.runFor(1_000)
    for (let lost = 0; lost < 3; lost++) {
      cluster.kill(cluster.listOwners()[lost]!)
      cluster.runFor(12_000)
      sendKeyed(cluster, lost, 0)
      cluster.runFor(1_000)
      expect(cluster.refused.at(-1)).toMatchObject({
        result: 'duplicate', detail: 'The first run finished with status 201'
      })
    }
    // The new owners record new keys, so their copies are complete.
    sendKeyed(cluster, 0, 1)
    cluster.runFor(1_000)
    expect(cluster.admitted).toHaveLength(2)
  })

  // Guards against: owners that open without a majority's records, and owners that never open again.
  it('cannot be verified once two of three owners are lost at once, and is free after the retention time', () => {
    const cluster = startCluster({ seed: 8, domainCount: 3, ends: ['answered'] })
    sendKeyed(cluster, 0, 0)
    cluster.runFor(1_000)
    const [first, second] = cluster.listOwners()
    cluster.kill(first!)
    cluster.kill(second!)
    cluster.runFor(30_000)
    sendKeyed(cluster, 0, 1)
    cluster.runFor(1_000)
    expect(cluster.refused.at(-1)).toMatchObject({ result: 'idempotencyUnverified', run: 'not-run' })
    cluster.runFor(3_700_000)
    sendKeyed(cluster, 0, 0)
    cluster.runFor(1_000)
    expect(cluster.admitted).toHaveLength(2)
  })

  // Guards against: a key whose run is reported as pending although its gateway can no longer settle it.
  it('is refused with an unknown outcome if its gateway died before the answer', () => {
    const cluster = startCluster({ seed: 9, domainCount: 3, ends: ['answered'] })
    const gateway = cluster.nodes[1]!
    cluster.request(gateway, 'key-0')
    while (cluster.admitted.length === 0) cluster.runFor(0.1)
    cluster.kill(gateway)
    cluster.runFor(10_000)
    sendKeyed(cluster, 0, 0)
    cluster.runFor(1_000)
    expect(cluster.refused.at(-1)).toMatchObject({
      result: 'duplicate', detail: 'The outcome of the first run is unknown'
    })
  })

  // Guards against: a key that stays blocked although its request did not run.
  it('can be claimed again after its request ended without a run', () => {
    const cluster = startCluster({ seed: 10, domainCount: 3, ends: ['notRun'] })
    sendKeyed(cluster, 0, 0)
    cluster.runFor(5_000)
    cluster.endAttempt = () => 'answered'
    sendKeyed(cluster, 3, 0)
    cluster.runFor(1_000)
    expect(cluster.admitted.at(-1)?.end).toBe('answered')
  })

  // Guards against: records that are lost, or owners that record no new keys, after a planned stop.
  it('stays refused after a planned stop of its owner, which hands its records over', () => {
    const cluster = startCluster({ seed: 11, domainCount: 1, ends: ['answered'] })
    sendKeyed(cluster, 0, 0)
    cluster.runFor(1_000)
    const [owner] = cluster.listOwners()
    cluster.leave(owner!)
    cluster.runFor(3_000)
    expect(owner!.state.idempotency.ownedRecords.size).toBe(0)
    cluster.kill(owner!)
    sendKeyed(cluster, 1, 0)
    cluster.runFor(1_000)
    expect(cluster.refused.at(-1)).toMatchObject({ result: 'duplicate' })
    sendKeyed(cluster, 1, 1)
    cluster.runFor(1_000)
    expect(cluster.admitted).toHaveLength(2)
  })
})

type ClusterOptions = Pick<Scenario, 'seed' | 'domainCount' | 'ends'> & Partial<Scenario>

function startCluster ({ seed, domainCount, network, ends }: ClusterOptions): Cluster {
  const cluster = makeCluster({ seed, domainCount, nodesPerDomain: 3, team, network })
  let next = 0
  cluster.endAttempt = () => ends[next++ % ends.length]!
  cluster.runFor(2_000)
  return cluster
}

function sendKeyed (cluster: Cluster, node: number, key: number): void {
  const alive = cluster.nodes.filter((candidate) => candidate.alive)
  cluster.request(alive[node % alive.length]!, `key-${key}`)
}

function sendAll (cluster: Cluster): void {
  for (let key = 0; key < KEY_COUNT; key++) sendKeyed(cluster, key, key)
}

/** Returns the keys for which more than one attempt may have run. */
function findDoubleRuns (cluster: Cluster): string[] {
  const runs = new Map<string, number>()
  for (const { idempotencyKey, end } of cluster.admitted) {
    if (end !== 'notRun') runs.set(idempotencyKey!, (runs.get(idempotencyKey!) ?? 0) + 1)
  }
  return [...runs].filter(([, count]) => count > 1).map(([key]) => key)
}

function applyStep (cluster: Cluster, { fault, node, other }: Scenario['steps'][number]): void {
  const target = cluster.nodes[node % cluster.nodes.length]!
  const source = cluster.nodes[other % cluster.nodes.length]!
  const owners = cluster.listOwners()
  const owner = owners[node % owners.length]!
  const canLose = cluster.nodes.filter(({ alive }) => alive).length > 2
  switch (fault) {
    case 'killOwner':
      if (canLose) cluster.kill(owner)
      break
    case 'killGateway':
      if (canLose) cluster.kill(target)
      break
    case 'pauseOwner':
      cluster.pause(owner)
      break
    case 'replaceOwner':
      cluster.replaceOwner(owner)
      break
    case 'replaceTwo':
      for (const lost of owners.slice(0, 2)) cluster.replaceOwner(lost)
      break
    case 'resume':
      for (const paused of cluster.nodes) cluster.resume(paused)
      break
    case 'leave':
      cluster.leave(owner)
      break
    case 'cut':
      cluster.network.cutLinks.add(`${target.id}>${source.id}`)
      break
    case 'heal':
      cluster.network.cutLinks.clear()
  }
}
