import {
  makeFleetConfiguration, makeHeartbeat, makeMemberRecord, makeMeshState, makeStorePosition, atTime, RelayFleet,
  type RelayFleetOptions, type StoreTreatment
} from '@lavenderturn/fixtures/mesh'
import { millis, toId } from '@lavenderturn/types'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { describe, expect, it } from 'vitest'
import { hashText } from '../hashText'
import { reduceMesh } from '../reduceMesh'
import type { MeshState } from '../MeshState'
import type { MeshEffect } from '../MeshEffect'

/** Age at which a node with a bound of 5 s for withdrawn keys refuses requests with keys. */
const CONFIRMATION_LIMIT_MS = 4_300

/** The bound for configurations of the smallest deployment. */
const CONFIGURATION_BOUND_MS = 2_000

/** Sizes of a data centre: of a small site, of the large one, and at the design size of 2,600 nodes in 15 of them. */
const SIZES = [9, 47, 173]

/** Starts a fleet and waits until the nodes have agreed on who follows the store. */
function makeSettledFleet (options: RelayFleetOptions = {}): RelayFleet {
  const fleet = new RelayFleet(options)
  fleet.runUntil(5_000)
  fleet.calls.length = 0
  return fleet
}

function findMaxAge (fleet: RelayFleet): number {
  return Math.max(...fleet.list().map(({ ageMs }) => ageMs))
}

function listFollowers (fleet: RelayFleet): string[] {
  return fleet.list().filter(({ following }) => following).map(({ node }) => node)
}

/** Runs the fleet and returns the greatest age of a confirmation that any node had. */
function measureMaxAge (fleet: RelayFleet, untilMs: number): number {
  let maxAge = 0
  let next = fleet.now
  fleet.runUntil(untilMs, () => {
    if (fleet.now < next) return
    next = fleet.now + 50
    maxAge = Math.max(maxAge, findMaxAge(fleet))
  })
  return maxAge
}

/** Writes a revision and returns how long it takes until all running nodes have it. */
function measureAdoption (fleet: RelayFleet): number {
  const start = fleet.now
  const target = Math.max(...fleet.list().map(({ revision }) => revision)) + 1
  fleet.writeRevision()
  const isMissing = (): boolean => fleet.list().some(({ revision }) => revision < target)
  while (fleet.now < start + 20_000 && isMissing()) fleet.runUntil(fleet.now + 10)
  return fleet.now - start
}

describe('relayed confirmations', () => {
  // Guards against calls to the store that grow with the fleet: each node followed it by itself before.
  it.each(SIZES)('cost a few calls a second for a data centre of %i nodes, which all stay confirmed', (nodesPerDataCentre) => {
    const fleet = makeSettledFleet({ nodesPerDataCentre })
    const maxAge = measureMaxAge(fleet, 15_000)
    const followers = Math.max(2, Math.ceil(nodesPerDataCentre / 50))
    expect(listFollowers(fleet)).toHaveLength(followers)
    expect(fleet.calls.length / 10).toBeLessThanOrEqual(followers * 1.2)
    expect(maxAge).toBeLessThan(2_000)
  })

  it.each(SIZES)('bring a revision to %i nodes within the bound', (nodesPerDataCentre) => {
    const fleet = makeSettledFleet({ nodesPerDataCentre })
    for (let round = 0; round < 5; round++) {
      expect(measureAdoption(fleet)).toBeLessThan(1_000)
      fleet.runUntil(fleet.now + 730)
    }
  })

  it('survive the death of all followers at the moment of a change', () => {
    for (let seed = 1; seed <= 5; seed++) {
      const fleet = makeSettledFleet({ dataCentres: 3, nodesPerDataCentre: 34, seed })
      for (const node of listFollowers(fleet)) fleet.kill(node)
      expect(measureAdoption(fleet)).toBeLessThan(CONFIGURATION_BOUND_MS)
      expect(measureMaxAge(fleet, fleet.now + 5_000)).toBeLessThan(CONFIRMATION_LIMIT_MS)
    }
  })

  // A node that the store turned away refused requests with keys though its neighbours were confirmed.
  it.each(['rejected', 'silent'] as const)('reach nodes whose calls to the store are %s', (treatment) => {
    for (let seed = 1; seed <= 5; seed++) {
      let turnedAway: ReadonlySet<string> = new Set()
      const fleet = makeSettledFleet({
        dataCentres: 3,
        nodesPerDataCentre: 34,
        seed,
        treat: (node) => turnedAway.has(node) ? treatment : 'served'
      })
      // All followers and a third of the others.
      const third = fleet.list().map(({ node }) => node).filter((_, index) => index % 3 === 0)
      turnedAway = new Set([...listFollowers(fleet), ...third])
      const maxAge = measureMaxAge(fleet, fleet.now + 10_000)
      expect(maxAge).toBeLessThan(CONFIRMATION_LIMIT_MS)
      expect(measureAdoption(fleet)).toBeLessThan(CONFIGURATION_BOUND_MS)
    }
  })

  it.each(['rejected', 'silent'] as const)('do not make all nodes call a store to which all calls are %s', (treatment) => {
    let isDown = false
    const fleet = makeSettledFleet({ dataCentres: 5, nodesPerDataCentre: 47, treat: () => isDown ? treatment : 'served' })
    isDown = true
    fleet.runUntil(fleet.now + 10_000)
    // Before, every node followed the store: with pauses of 0.8 s, 235 nodes made 290 calls a second. The target is a
    // fifth of that.
    expect(fleet.calls.length / 10).toBeLessThan(58)
    expect(findMaxAge(fleet)).toBeGreaterThan(CONFIRMATION_LIMIT_MS)
    isDown = false
    const back = fleet.now
    while (fleet.now < back + 10_000 && findMaxAge(fleet) > CONFIRMATION_LIMIT_MS) fleet.runUntil(fleet.now + 50)
    expect(fleet.now - back).toBeLessThan(4_000)
  })

  it('let a node that reaches no other one follow the store itself', () => {
    let isCut = false
    const fleet = makeSettledFleet({
      nodesPerDataCentre: 173, arrives: (from, to) => !isCut || (from !== 'node-7' && to !== 'node-7')
    })
    isCut = true
    expect(measureMaxAge(fleet, fleet.now + 10_000)).toBeLessThan(CONFIRMATION_LIMIT_MS)
    expect(measureAdoption(fleet)).toBeLessThan(CONFIGURATION_BOUND_MS)
  })

  it('survive datagrams that pass in one direction only and are often lost', () => {
    const fleet = makeSettledFleet({ nodesPerDataCentre: 30 })
    const followers = listFollowers(fleet)
    let count = 0
    const lossy = makeSettledFleet({
      nodesPerDataCentre: 30, arrives: (from, to) => to !== followers[0] && count++ % 4 !== 0
    })
    expect(measureMaxAge(lossy, lossy.now + 20_000)).toBeLessThan(CONFIRMATION_LIMIT_MS)
  })
})

describe('a revision', () => {
  const RUNS = 40

  /** The change comes at a random time of the intervals at which nodes query each other and the store. */
  const MAX_PHASE_MS = 1_000

  interface Disturbance {
    /** Share of the datagrams and fetches that are lost. */
    readonly loss?: number
    /** Share of the pairs of nodes that the loss concerns; all by default. */
    readonly pairs?: number
    /** How the store treats its followers and a third of the other nodes. */
    readonly treatment?: StoreTreatment
  }

  /** Disturbs fleets of the size of a grown site when a revision is written, and returns its longest delay. */
  function measureWorstAdoption ({ loss = 0, pairs = 1, treatment = 'served' }: Disturbance): number {
    const delays = Array.from({ length: RUNS }, (_, index) => {
      const seed = index + 1
      const random = xoroshiro128plus(seed)
      let isDisturbed = false
      let concerned: ReadonlySet<string> = new Set()
      const isConcernedPair = (from: string, to: string): boolean => {
        return hashText(`${[from, to].sort().join()}/${seed}`) / 2 ** 32 < pairs
      }
      const fleet = makeSettledFleet({
        dataCentres: 4,
        nodesPerDataCentre: 18,
        seed,
        treat: (node) => isDisturbed && concerned.has(node) ? treatment : 'served',
        arrives: (from, to) => !isDisturbed || !isConcernedPair(from, to) || uniformFloat64(random) >= loss
      })
      fleet.runUntil(fleet.now + Math.floor(uniformFloat64(random) * MAX_PHASE_MS))
      const third = fleet.list().map(({ node }) => node).filter(() => uniformFloat64(random) < 1 / 3)
      concerned = new Set([...listFollowers(fleet), ...third])
      isDisturbed = true
      return measureAdoption(fleet)
    })
    return Math.max(...delays)
  }

  // Guards against nodes that learn of a revision only from replies to their own queries. Each lost one delayed it by
  // 0.5 s and made the node query nodes that do not follow the store.
  it.each([
    ['5 in 100 datagrams are lost', { loss: 0.05 }],
    ['30 in 100 datagrams of some pairs of nodes are lost', { loss: 0.3, pairs: 0.12 }]
  ])('is in force everywhere within the bound while %s', (_, disturbance) => {
    expect(measureWorstAdoption(disturbance)).toBeLessThan(CONFIGURATION_BOUND_MS)
  })

  // Guards against a data centre that waits until its confirmations are out of date before it asks others.
  it.each([
    ['rejected', { treatment: 'rejected' }], ['silent', { treatment: 'silent' }]
  ] as const)('is in force everywhere within the bound when calls of the followers are %s', (_, disturbance) => {
    expect(measureWorstAdoption(disturbance)).toBeLessThan(CONFIGURATION_BOUND_MS)
  })
})

describe('a heartbeat that states a later revision', () => {
  // Guards against fetches of a whole data centre from one node at the moment of its heartbeat.
  it('starts a fetch only once replies to queries have been missing for a while', () => {
    const state = makeMeshState({ at: 0 })
    reduceMesh(state, atTime({ slice: 'directory', type: 'registryRead', records: [makeMemberRecord('node-2')] }, 100))
    state.configuration.relay.repliedAt = millis(900)
    const hear = (at: number): boolean => {
      const message = makeHeartbeat('node-2', { revision: toId(2) })
      const from = makeMemberRecord('node-2').peerAddress
      const effects = reduceMesh(state, atTime({ slice: 'directory', type: 'beatReceived', message, from }, at))
      return effects.some(({ slice, type }) => slice === 'configuration' && type === 'fetch')
    }
    expect([1_000, 1_500, 1_700].map(hear)).toEqual([false, false, true])
  })
})

describe('the age of a relayed confirmation', () => {
  /** A node that has one neighbour and has queried it at 10,000 ms. */
  function makeAskingState (): { readonly state: MeshState, readonly query: string } {
    const state = makeMeshState({ at: 0 })
    const record = {
      node: toId<never>('node-2'),
      boot: 'boot',
      dataCentre: toId<never>('dc-a'),
      service: toId<never>('stock'),
      peerAddress: toId<never>('node-2:1'),
      forwardAddress: toId<never>('node-2:2')
    }
    reduceMesh(state, atTime({ slice: 'directory', type: 'registryRead', records: [record] }, 9_900))
    const effects = reduceMesh(state, atTime({ slice: 'configuration', type: 'checkDue' }, 10_000))
    return { state, query: findQuery(effects) }
  }

  function findQuery (effects: readonly MeshEffect[]): string {
    for (const effect of effects) {
      if (effect.slice === 'peer' && effect.message.kind === 'askConfirmation') return effect.message.query
    }
    throw new Error('no query was sent')
  }

  function report (state: MeshState, query: string, { at, wallAt = at, ageMs = 300, node = 'node-2' }: {
    readonly at: number, readonly wallAt?: number, readonly ageMs?: number, readonly node?: string
  }): void {
    const message = {
      kind: 'confirmation', query: toId<never>(query), node: toId<never>(node), following: true, revision: toId<never>(1), version: 0, ageMs, evacuated: [], era: toId<never>(0)
    } as const
    reduceMesh(state, atTime({ slice: 'configuration', type: 'confirmationReported', message }, at, wallAt))
  }

  it('counts from the query, however late the report is handled', () => {
    const { state, query } = makeAskingState()
    report(state, query, { at: 14_000 })
    expect(state.configuration.confirmed).toEqual({ steadyAt: 9_700, wallAt: 9_700 })
  })

  // Guards against a suspended node that takes a report from before its suspension for a new one.
  it('includes the time for which the steady clock stood still', () => {
    const { state, query } = makeAskingState()
    report(state, query, { at: 10_001, wallAt: 60_000 })
    const { confirmed } = state.configuration
    expect(state.wallNow - confirmed!.wallAt).toBeGreaterThan(50_000)
  })

  it('is not taken from a report that nobody asked for, or from another node than the one asked', () => {
    const { state, query } = makeAskingState()
    const before = state.configuration.confirmed
    report(state, 'forged', { at: 10_005 })
    report(state, query, { at: 10_005, node: 'node-3' })
    expect(state.configuration.confirmed).toEqual(before)
  })

  it('is told with the greater age of the two clocks of the node that reports it', () => {
    const state = makeMeshState({ at: 1_000 })
    const message = { kind: 'askConfirmation', query: toId<never>('q'), replyTo: toId<never>('node-2:1') } as const
    const [reply] = reduceMesh(state, atTime({ slice: 'configuration', type: 'confirmationAsked', message }, 1_100, 31_000))
    expect(reply).toMatchObject({ message: { kind: 'confirmation', ageMs: 30_000 } })
  })

  // Guards against a withdrawn key that works again because an older reading of another node came late.
  it('does not count for a revision that a later reading has replaced', () => {
    const state = makeMeshState({ at: 0, configuration: makeFleetConfiguration({ revision: 7 }) })
    const configuration = makeFleetConfiguration({ revision: 6 })
    const confirmed = { steadyAt: millis(4_000), wallAt: millis(4_000) }
    reduceMesh(state, atTime({ slice: 'configuration', type: 'configurationRead', configuration, position: makeStorePosition(9), confirmed }, 4_100))
    expect(state.configuration.current!.revision).toBe(7)
    expect(state.configuration.confirmed).toEqual({ steadyAt: 0, wallAt: 0 })
  })
})
