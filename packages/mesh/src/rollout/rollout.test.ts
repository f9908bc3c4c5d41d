import {
  atTime, makeAnnouncement, makeMeshState, makeSlotRequest, makeStorePosition, ROLLOUT_PATHS, RolloutFleet,
  type RolloutFleetOptions, type RunResult, scheduleTraffic
} from '@lavenderturn/fixtures/mesh'
import { type MeshState, reduceMesh, type RolloutStepMessage } from '@lavenderturn/mesh'
import { millis, type ServerVersion, type ServiceId, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'

const ORDERED_AT = 2_000
const DURATION = 14_000
const DEADLINE = ORDERED_AT + DURATION
const END = DEADLINE + 6_000
const OLD_SERVERS = 6
const BOUNDS = { share: 0.1, slack: 50 }

/** Runs that fail, or take long, of those at servers of the new version. */
interface Fault {
  readonly share: number
  readonly from?: number
  /** Prefix of the ids of the requests that are affected. */
  readonly only?: string
  readonly slow?: boolean
}

/** Decides by the request's id, so that a play repeats. */
function isAffected (requestId: string, { share, only = '' }: Fault): boolean {
  if (!requestId.startsWith(only)) return false
  const number = Number(requestId.split('-')[1])
  return (number * 0.618_034) % 1 < share
}

function makeRun (fault?: Fault): (run: { node: string, requestId: string, at: number }) => RunResult {
  return ({ node, requestId, at }) => {
    const isNew = Number(node.split('-')[1]) > OLD_SERVERS
    const isBad = fault !== undefined && isNew && at >= (fault.from ?? 0) && isAffected(requestId, fault)
    return isBad && fault.slow !== true
      ? { outcome: { kind: 'answered', failed: true }, afterMs: 30 }
      : { outcome: { kind: 'answered', failed: false }, afterMs: isBad ? 1_400 : 180 }
  }
}

interface FleetOptions extends RolloutFleetOptions {
  readonly fault?: Fault
  /** Requests as a multiple of the usual ones. */
  readonly load?: number
}

function startFleet ({ fault, load = 1, ...options }: FleetOptions = {}): RolloutFleet {
  const fleet = new RolloutFleet({ orderedAt: ORDERED_AT, duration: DURATION, run: makeRun(fault), ...options })
  scheduleTraffic(fleet, {
    kinds: [
      { name: 'search', path: ROLLOUT_PATHS.search, perSecond: 40 * load },
      { name: 'detail', path: ROLLOUT_PATHS.detail, perSecond: 20 * load }
    ],
    // All of them run all the time.
    nodes: ['node-4', 'node-5', 'node-6'],
    fromMs: 500,
    untilMs: END,
    seed: options.seed
  })
  return fleet
}

function expectBoundedExposure (fleet: RolloutFleet): void {
  const inTime = fleet.runs.filter(({ at }) => at >= ORDERED_AT && at < DEADLINE).length
  expect(fleet.countRuns('v2')).toBeLessThanOrEqual(BOUNDS.share * inTime + BOUNDS.slack)
}

function findPhase (fleet: RolloutFleet): string | undefined {
  return fleet.record?.phase
}

function findEnd (fleet: RolloutFleet): number {
  return fleet.applied.find(({ phase }) => phase === 'completed' || phase === 'rolledBack')?.at ?? Number.POSITIVE_INFINITY
}

describe('the roll-out of a good version', () => {
  it('is completed in time, once the servers of the old version run nothing', () => {
    const fleet = startFleet()
    fleet.runUntil(END)
    expect(findPhase(fleet)).toBe('completed')
    const completedAt = findEnd(fleet)
    expect(completedAt).toBeLessThan(DEADLINE)
    const last = Math.max(...fleet.runs.filter(({ node }) => fleet.findVersion(node) === 'v1').map(({ at }) => at))
    expect(last + 180).toBeLessThan(completedAt)
    expect(fleet.outcomes.filter(({ result }) => result !== 'answered')).toEqual([])
  })

  // Guards against taking servers with a gray failure for a bad version.
  it('is completed although two of its servers fail most requests', () => {
    const good = makeRun()
    const run: RolloutFleetOptions['run'] = (run) => {
      const isGray = run.node === 'node-8' || run.node === 'node-10'
      return isGray && isAffected(run.requestId, { share: 0.8 })
        ? { outcome: { kind: 'answered', failed: true }, afterMs: 20 }
        : good(run)
    }
    const fleet = startFleet({ run, load: 2, newServers: 10 })
    fleet.runUntil(END)
    expect(findPhase(fleet)).toBe('completed')
  })

  // Guards against rolling back because of trouble that hits both versions.
  it('is not taken for bad because all servers fail a part of their requests', () => {
    const good = makeRun()
    const run: RolloutFleetOptions['run'] = (run) => {
      return run.at > 5_000 && run.at < 8_000 && isAffected(run.requestId, { share: 0.3 })
        ? { outcome: { kind: 'answered', failed: true }, afterMs: 20 }
        : good(run)
    }
    const fleet = startFleet({ run })
    fleet.runUntil(END)
    expect(fleet.record?.reason).not.toMatch(/^bad/)
  })

  // Guards against a roll-out that stands still, or a promotion that is forgotten, when its conductor ends between
  // two writes.
  it.each([1, 2, 3, 4, 5, 6, 8, 10, 12, 14])('ends although its conductor is killed after write %i', (write) => {
    const fleet = startFleet()
    let isKilled = false
    for (let at = 0; at < END; at += 10) {
      fleet.runUntil(at)
      if (isKilled || fleet.applied.length < write) continue
      isKilled = true
      fleet.kill(fleet.applied[write - 1]!.conductor)
    }
    expect(['completed', 'rolledBack']).toContain(findPhase(fleet))
    expect(fleet.record?.reason).not.toMatch(/^bad/)
  })

  // Guards against a new conductor that takes the silence of nodes it has not asked yet for servers that run nothing.
  it('stops no server that runs requests although its conductor is killed after the promotion', () => {
    // Requests that begin late at the old servers take long.
    const findServiceMs = (at: number): number => at > 12_000 ? 6_000 : 180
    const run: RolloutFleetOptions['run'] = ({ node, at }) => {
      const isOld = Number(node.split('-')[1]) <= OLD_SERVERS
      return { outcome: { kind: 'answered', failed: false }, afterMs: isOld ? findServiceMs(at) : 180 }
    }
    const fleet = startFleet({ run, newServers: 10, duration: 24_000 })
    let isKilled = false
    for (let at = 0; at < 30_000; at += 10) {
      fleet.runUntil(at)
      const promoted = fleet.applied.find(({ phase }) => phase === 'promoting')
      // The nodes have heard of the promotion by then.
      if (promoted === undefined || at < promoted.at + 1_500 || isKilled) continue
      isKilled = true
      fleet.kill(promoted.conductor)
    }
    expect(isKilled).toBe(true)
    expect(findPhase(fleet)).toBe('completed')
    const completedAt = findEnd(fleet)
    const running = fleet.runs.filter(({ node, at }) => {
      const isRunning = at < completedAt && at + findServiceMs(at) > completedAt
      return isRunning && fleet.findVersion(node) === 'v1' && !fleet.ended.has(node)
    })
    expect(running).toEqual([])
  })

  it.each([1, 2, 5, 9])('is completed although the response to write %i is lost', (write) => {
    const fleet = startFleet({ losesResponse: (number) => number === write })
    fleet.runUntil(END)
    expect(findPhase(fleet)).toBe('completed')
  })

  // Guards against servers that stay closed, or open again, after the store has lost the record.
  it.each([5_000, 9_000, 20_000])('is completed although the store is restored without its record at %i ms', (at) => {
    const fleet = startFleet()
    fleet.schedule(at, () => { fleet.restoreStore() })
    fleet.runUntil(END)
    expect(findPhase(fleet)).toBe('completed')
    expect(fleet.countRuns('v1', DEADLINE)).toBe(0)
  })

  // Guards against decisions by the time of day, which jumps on single machines.
  it('takes the same course when the time of day jumps forward and back', () => {
    const steady = startFleet()
    const jumping = startFleet({
      wallOffset: (now) => now > 6_000 && now < 9_000 ? 5_000 : now > 10_000 && now < 12_000 ? -5_000 : 0
    })
    steady.runUntil(END)
    jumping.runUntil(END)
    expect(jumping.applied).toEqual(steady.applied)
  })
})

describe('the roll-out of a bad version', () => {
  const faults: ReadonlyArray<readonly [string, Fault]> = [
    ['at once', { share: 0.4 }],
    ['late', { share: 0.5, from: 7_500 }],
    ['on one route', { share: 0.5, only: 'detail' }],
    ['by its slowness', { share: 0.6, slow: true }]
  ]

  it.each(faults)('is rolled back if it is bad %s', (_, fault) => {
    const fleet = startFleet({ fault })
    fleet.runUntil(END)
    expect(findPhase(fleet)).toBe('rolledBack')
    expect(fleet.record?.reason).toMatch(/^bad/)
    expect(findEnd(fleet)).toBeLessThan(DEADLINE)
    expectBoundedExposure(fleet)
    // Requests whose slot was granted before may still arrive.
    expect(fleet.countRuns('v2', findEnd(fleet) + 100)).toBe(0)
  })

  // Guards against a version that goes on getting requests because its roll-back cannot be written.
  it('gets no more requests while the store is away', () => {
    const fleet = startFleet({ fault: { share: 0.6, from: 5_500 }, serves: (_, now) => now < 5_000 || now > 12_000 })
    fleet.runUntil(END)
    expect(findPhase(fleet)).toBe('rolledBack')
    expect(fleet.countRuns('v2', 12_000)).toBe(0)
    expectBoundedExposure(fleet)
  })

  // Guards against a promotion that is written when the store is back, although the version has turned bad since.
  it('is rolled back if it turns bad before its promotion can be written', () => {
    const serves = (_: string, now: number): boolean => now < 8_200 || now > 13_000
    const fleet = startFleet({ fault: { share: 0.7, from: 8_300 }, load: 2, serves })
    fleet.schedule(8_300, () => {
      const { rollout } = fleet.states.get(fleet.record!.conductor)!
      rollout.conducts.get(toId<ServiceId>('stock'))!.decision = { phase: 'promoting', reason: 'proven' }
    })
    fleet.runUntil(END)
    expect(fleet.applied.map(({ phase }) => phase)).not.toContain('promoting')
    expect(findPhase(fleet)).toBe('rolledBack')
  })

  // Guards against nodes that are never told the last phase, because the conductor has only read that it was written.
  it('is rolled back everywhere although responses to writes are lost', () => {
    const fleet = startFleet({ fault: { share: 0.6 }, losesResponse: (write) => write > 4 && write < 14 })
    fleet.runUntil(END)
    for (const { rollout } of fleet.states.values()) {
      expect(rollout.rollouts.get(toId<ServiceId>('stock'))?.phase).toBe('rolledBack')
    }
  })

  // Guards against a second order that opens the servers of the first version, which was not proven.
  it('gets nothing after another version was ordered', () => {
    const fleet = startFleet({ fault: { share: 0.2, from: 6_000 } })
    fleet.schedule(6_000, () => { fleet.order('v3') })
    fleet.runUntil(END)
    expect(fleet.record?.order.to).toBe('v3')
    expect(fleet.record?.excluded).toContain('v2')
    expect(fleet.countRuns('v2', 8_000)).toBe(0)
  })

  it('is rolled back when its order is withdrawn', () => {
    const fleet = startFleet()
    fleet.schedule(7_000, () => { fleet.withdraw() })
    fleet.runUntil(END)
    expect(findPhase(fleet)).toBe('rolledBack')
    expect(fleet.countRuns('v2', 9_000)).toBe(0)
  })
})

describe('a server whose version is not proven', () => {
  function startCanary (): MeshState {
    const state = makeMeshState({ bounds: { exposeShare: 0.1, exposeSlack: 50, rollback: millis(5_000) } })
    const position = makeStorePosition(3)
    const order = { service: toId<ServiceId>('stock'), to: toId<ServerVersion>('v2'), duration: millis(14_000), position }
    const confirmed = { steadyAt: millis(1_000), wallAt: millis(1_000) }
    reduceMesh(state, atTime({
      slice: 'configuration', type: 'configurationRead', rollouts: [order], position, confirmed
    }, 1_000))
    reduceMesh(state, atTime({ slice: 'rollout', type: 'recordsRead', stored: [], era: toId<never>(1) }, 1_000))
    const announcement = makeAnnouncement({ version: toId('v2') })
    reduceMesh(state, atTime({ slice: 'admission', type: 'serverAnnounced', announcement }, 1_000))
    return state
  }

  function receiveStep (
    state: MeshState,
    { at, allowance, echo }: { readonly at: number, readonly allowance: number, readonly echo: number }
  ): void {
    const message: RolloutStepMessage = {
      kind: 'rolloutStep',
      replyTo: toId('node-2:1'),
      service: toId('stock'),
      to: toId('v2'),
      duration: millis(14_000),
      era: toId(1),
      version: 3,
      phase: 'canary',
      term: 5,
      step: at,
      allowance,
      echo
    }
    reduceMesh(state, atTime({ slice: 'rollout', type: 'stepReceived', message }, at))
  }

  function askSlots (state: MeshState, { at, count }: { at: number, count: number }): Array<string | undefined> {
    return Array.from({ length: count }, (_, index) => {
      const message = makeSlotRequest({ reservation: toId(`reservation-${at}-${index}`) })
      const effects = reduceMesh(state, atTime({ slice: 'admission', type: 'slotAsked', message }, at))
      const reply = effects.find((effect) => effect.slice === 'peer' && effect.message.kind === 'slot')
      return reply?.slice === 'peer' && reply.message.kind === 'slot' ? reply.message.verdict : undefined
    })
  }

  it('gets nothing before its node knows an allowance', () => {
    expect(askSlots(startCanary(), { at: 1_100, count: 1 })).toEqual(['refused'])
  })

  // Guards against a server that is replaced by one of another version before its node has heard of the order.
  it('gets nothing before the store has confirmed what its node knows, if it replaces one of another version', () => {
    const state = makeMeshState({ bounds: { exposeShare: 0.1, exposeSlack: 50, rollback: millis(5_000) } })
    const confirm = (at: number): void => {
      const confirmed = { steadyAt: millis(at), wallAt: millis(at) }
      const { revision: storedRevision } = state.configuration.current!
      reduceMesh(state, atTime({
        slice: 'configuration', type: 'configurationRead', storedRevision, rollouts: [], confirmed
      }, at))
    }
    const announce = (version: string, at: number): void => {
      const announcement = makeAnnouncement({ version: toId(version), startedAt: at })
      reduceMesh(state, atTime({ slice: 'admission', type: 'serverAnnounced', announcement }, at))
    }
    confirm(900)
    reduceMesh(state, atTime({ slice: 'rollout', type: 'recordsRead', stored: [], era: toId<never>(1) }, 900))
    announce('v1', 1_000)
    expect(askSlots(state, { at: 1_100, count: 1 })).toEqual(['granted'])
    announce('v2', 2_000)
    expect(askSlots(state, { at: 2_100, count: 1 })).toEqual(['refused'])
    confirm(2_200)
    expect(askSlots(state, { at: 2_300, count: 1 })).toEqual(['granted'])
  })

  // Guards against requests that wait for a server which may not get them.
  it('is granted, and queues, no more requests than its allowance', () => {
    const state = startCanary()
    receiveStep(state, { at: 1_500, allowance: 3, echo: 1_400 })
    expect(askSlots(state, { at: 1_600, count: 5 })).toEqual(['granted', 'granted', 'queued', 'refused', 'refused'])
  })

  // Guards against a permission that arrives late, or is used after the process was frozen.
  it('gets nothing by an allowance that answers an old report', () => {
    const state = startCanary()
    const announcement = makeAnnouncement({ version: toId('v2'), seq: 2 })
    reduceMesh(state, atTime({ slice: 'admission', type: 'serverAnnounced', announcement }, 8_900))
    receiveStep(state, { at: 9_000, allowance: 8, echo: 4_000 })
    expect(askSlots(state, { at: 9_001, count: 1 })).toEqual(['refused'])
    receiveStep(state, { at: 9_500, allowance: 8, echo: 9_400 })
    expect(askSlots(state, { at: 9_501, count: 1 })).toEqual(['granted'])
    expect(askSlots(state, { at: 12_000, count: 1 })).toEqual(['refused'])
  })
})

describe('the exposure of a version that is not proven', () => {
  // Guards against allowances that add up to more than the bound when conductors follow on each other, nodes do not
  // hear each other, or the store fails for some of them.
  it.each(Array.from({ length: 12 }, (_, index) => index + 1))('stays bounded under failures, seed %i', (seed) => {
    const random = (salt: number): number => (Math.sin(seed * 12.9898 + salt * 78.233) * 43_758.5453 % 1 + 1) % 1
    const cutFrom = 3_000 + random(1) * 6_000
    const cutNode = `node-${1 + Math.floor(random(2) * 3)}`
    const unservedNode = `node-${1 + Math.floor(random(4) * 3)}`
    const fleet = startFleet({
      seed,
      fault: { share: 0.5, from: 3_000 + random(3) * 6_000 },
      deliver: (from, to, _, now) => {
        const isCut = now > cutFrom && now < cutFrom + 4_000 && (from === cutNode) !== (to === cutNode)
        return isCut || random(now + Number(to.split('-')[1])) < 0.05 ? undefined : 1
      },
      serves: (node, now) => node !== unservedNode || now < cutFrom || now > cutFrom + 5_000
    })
    fleet.schedule(4_000 + random(5) * 6_000, () => {
      const conductor = fleet.record?.conductor
      if (conductor !== undefined) fleet.kill(conductor)
    })
    if (random(6) < 0.5) fleet.schedule(5_000 + random(7) * 5_000, () => { fleet.restoreStore() })
    fleet.runUntil(END)
    expectBoundedExposure(fleet)
    expect(findPhase(fleet)).not.toBe('completed')
  })
})
