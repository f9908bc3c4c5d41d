import {
  atTime, makeAnnouncement, makeFleetConfiguration, makeMeshState, makeSlotRequest, MeshFleet, scheduleTraffic,
  type TrafficKind
} from '@lavenderturn/fixtures/mesh'
import { millis, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { reduceMesh } from '../reduceMesh'
import type { WorkOutcome } from './AdmissionEvent'

const UNTIL_MS = 20_000

/** A limit binds from this long after the server first named it. */
const STABLE_MS = 3_000

const WINDOW_MS = 4_000

/** Servers name their limits from this time on. */
const NAMED_MS = 5_000

const SERVICE_MS = 400

const SUCCESS: WorkOutcome = { kind: 'answered', failed: false }

const TRAFFIC: TrafficKind = { name: 'lookup', path: '/lookup/', perSecond: 16 }

const configuration = makeFleetConfiguration({ routes: [{ pathPrefix: '/lookup/', repeatable: true }] })

interface LimitedRun {
  readonly limits: Readonly<Record<string, number>>
  readonly liftedMs?: number
  /** How every third run ends. */
  readonly outcome?: WorkOutcome
  readonly perSecond?: number
  readonly seed?: number
}

/** Six servers of six slots, some of which name limits. */
function runLimited (
  { limits, liftedMs = UNTIL_MS, outcome = SUCCESS, perSecond = 16, seed = 1 }: LimitedRun
): MeshFleet {
  let runs = 0
  const fleet = new MeshFleet({
    configuration,
    nodes: 6,
    slots: 6,
    seed,
    run: ({ node, at }) => {
      const endsAt = at + SERVICE_MS
      const requestLimit = endsAt >= NAMED_MS && endsAt < liftedMs ? limits[node] : undefined
      const notice = { leaving: false, requestLimit }
      if (runs++ % 3 > 0) return { outcome: SUCCESS, afterMs: SERVICE_MS, notice }
      return outcome.kind === 'answered' ? { outcome, afterMs: SERVICE_MS, notice } : { outcome, afterMs: SERVICE_MS }
    }
  })
  const nodes = [...fleet.states.keys()]
  scheduleTraffic(fleet, { kinds: [{ ...TRAFFIC, perSecond }], nodes, fromMs: 1_000, untilMs: UNTIL_MS, seed })
  fleet.runUntil(UNTIL_MS)
  return fleet
}

/** Finds the largest number of requests that a server got in a window that ends after the limit is in force. */
function findMost (fleet: MeshFleet, node: string): number {
  const times = fleet.runs.filter((run) => run.node === node && run.at >= NAMED_MS + SERVICE_MS).map(({ at }) => at)
  const ends = times.filter((at) => at >= NAMED_MS + STABLE_MS)
  return Math.max(0, ...ends.map((end) => times.filter((at) => at > end - WINDOW_MS && at <= end).length))
}

/** The users' bound for a window. */
function findAllowed (limit: number): number {
  return limit * WINDOW_MS / 1_000 * 1.5 + 5
}

const SLOTS = 12

/** A server that has named a limit in the response to its first request, at 1 s. */
function makeLimitedState (requestLimit: number): MeshState {
  const state = makeMeshState()
  const announcement = makeAnnouncement({ slots: SLOTS })
  reduceMesh(state, atTime({ slice: 'admission', type: 'serverAnnounced', announcement }, 0))
  ask(state, 'first', 0)
  start(state, 'first', 0)
  end(state, 'first', SUCCESS, { at: 1_000, requestLimit })
  return state
}

/** Requests a slot and returns the verdict. */
function ask (state: MeshState, id: string, at: number): string | undefined {
  const message = makeSlotRequest({ reservation: toId(id), repeatable: true })
  return findVerdict(reduceMesh(state, atTime({ slice: 'admission', type: 'slotAsked', message }, at)))
}

function findVerdict (effects: readonly MeshEffect[]): string | undefined {
  for (const effect of effects) {
    if (effect.slice === 'peer' && effect.message.kind === 'slot') return effect.message.refusal ?? effect.message.verdict
  }
  return undefined
}

function start (state: MeshState, id: string, at: number): void {
  const timeout = millis(5_000)
  const work = { reservation: toId<never>(id), callerRequestId: id, route: toId<never>('r'), fingerprint: toId<never>(id) }
  reduceMesh(state, atTime({ slice: 'admission', type: 'workArrived', timeout, ...work }, at))
}

function end (
  state: MeshState,
  id: string,
  outcome: WorkOutcome,
  { at, requestLimit }: { readonly at: number, readonly requestLimit?: number }
): MeshEffect[] {
  const notice = { leaving: false, requestLimit }
  return reduceMesh(state, atTime({ slice: 'admission', type: 'workEnded', reservation: toId(id), outcome, notice }, at))
}

describe('slots of a server that has named a limit', () => {
  // Guards against granted slots that are not counted until their requests come.
  it('are granted ahead of the rate for half a second at most', () => {
    const state = makeLimitedState(4)
    expect(['a', 'b', 'c', 'd'].map((id) => ask(state, id, 1_000))).toEqual(['granted', 'granted', 'granted', 'queued'])
  })

  // Guards against a queued request that is sent before the limit allows it, or never.
  it('are granted to queued requests when the next one is due', () => {
    const state = makeLimitedState(4)
    for (const id of ['a', 'b', 'c', 'd']) ask(state, id, 1_000)
    for (const id of ['a', 'b', 'c']) start(state, id, 1_000)
    expect(findVerdict(reduceMesh(state, atTime({ slice: 'admission', type: 'queueDue' }, 1_200)))).toBeUndefined()
    expect(findVerdict(reduceMesh(state, atTime({ slice: 'admission', type: 'queueDue' }, 1_260)))).toBe('granted')
  })

  // Guards against a repeat on a new connection that goes past the limit.
  it('are needed by requests that are sent again', () => {
    const state = makeLimitedState(4)
    for (const id of ['a', 'b', 'c']) {
      ask(state, id, 1_000)
      start(state, id, 1_000)
    }
    const broken: WorkOutcome = { kind: 'broken', reason: 'staleConnection' }
    const repeats = end(state, 'a', broken, { at: 1_010, requestLimit: 4 })
    expect(repeats.some((effect) => effect.slice === 'admission' && effect.type === 'dispatch')).toBe(false)
  })
})

const LIMITS = { 'node-1': 1, 'node-2': 1, 'node-3': 2.4, 'node-4': 0.5 }

describe('a backend server that names a limit', () => {
  // Guards against a server in need that gets the requests of all gateways although it has named what it takes.
  it.each([1, 2, 3])('gets no more than that from all gateways together, seed %d', (seed) => {
    const fleet = runLimited({ limits: LIMITS, seed })
    for (const [node, limit] of Object.entries(LIMITS)) {
      expect(findMost(fleet, node), node).toBeLessThanOrEqual(findAllowed(limit))
    }
  })

  // Guards against more requests than the limit under overload, when all servers are limited and requests wait.
  it('gets no more than that when all servers are limited', () => {
    const limits = Object.fromEntries([1, 2, 3, 4, 5, 6].map((index) => [`node-${index}`, 1]))
    const fleet = runLimited({ limits, perSecond: 30 })
    for (const node of fleet.states.keys()) expect(findMost(fleet, node), node).toBeLessThanOrEqual(findAllowed(1))
  })

  // Guards against trials and repeats that go past the limit.
  it.each<WorkOutcome>([
    { kind: 'answered', failed: true },
    { kind: 'broken', reason: 'staleConnection' }
  ])('gets no more than that when its requests end with %o', (outcome) => {
    const fleet = runLimited({ limits: LIMITS, outcome, perSecond: 30 })
    for (const [node, limit] of Object.entries(LIMITS)) {
      expect(findMost(fleet, node), node).toBeLessThanOrEqual(findAllowed(limit))
    }
  })

  // Guards against requests that wait at limited servers while others are free.
  it('does not delay the requests that other servers can run', () => {
    const fleet = runLimited({ limits: LIMITS })
    const late = fleet.outcomes.filter(({ requestId, at }) => {
      const arrival = fleet.arrivals.get(requestId)!
      return arrival >= NAMED_MS && at - arrival > SERVICE_MS + 200
    })
    expect(fleet.outcomes.filter(({ result }) => result !== 'answered')).toEqual([])
    expect(late.length).toBeLessThanOrEqual(fleet.outcomes.length / 50)
  })

  // Guards against a limit that outlasts the need, or that keeps all requests away so that its end is not noticed.
  it('gets as many requests as others once it has lifted the limit', () => {
    const fleet = runLimited({ limits: { 'node-1': 0.5, 'node-2': 0 }, liftedMs: 10_000 })
    const count = (node: string): number => fleet.runs.filter((run) => run.node === node && run.at >= 14_000).length
    for (const node of ['node-1', 'node-2']) expect(count(node), node).toBeGreaterThan(count('node-5') / 2)
  })
})
