import {
  assignOwner, type TrafficNode, makeTrafficIds, makeEndpoint, makeTrafficDocument, makeIdentity, makeMember, makeState
} from '@lavenderturn/fixtures'
import { millis, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import { createEvent } from '../createEvent'
import type { EventBody } from '../NodeEvent'
import type { MemberRecord } from '../membership/MemberRecord'
import type { MemberStatus } from '../membership/MembershipState'
import { reduce } from '../reduce'
import type { PermitAnswer } from './HealthEvent'

const SIZE = 6
/** Time at which a new owner starts to grant permits. */
const READY = 5_100

/** A node that owns the permits of a service with `SIZE` endpoints. */
class Owner {
  readonly node: TrafficNode

  constructor (floor = 0.5) {
    const state = makeState({ identity: makeIdentity({ nodeId: makeTrafficIds(0).node }) })
    this.node = { state, timers: new Map(), reachable: true }
    this.send(0, { slice: 'control', type: 'documentAccepted', document: makeTrafficDocument({ floor }) })
    for (let index = 0; index < SIZE; index += 1) this.learn(0, index)
    assignOwner(this.node, 0)
  }

  learn (at: number, index: number, status: MemberStatus = 'alive', record: Partial<MemberRecord> = {}): void {
    const { node, endpoint } = makeTrafficIds(index)
    const endpoints = [makeEndpoint({ id: endpoint })]
    this.send(at, {
      slice: 'membership',
      type: 'memberLearned',
      status,
      record: makeMember({ nodeId: node, endpoints, incarnation: at + 1, ...record })
    })
  }

  ask (at: number, index: number, { freshAt = at, askedAt = at } = {}): PermitAnswer {
    this.node.state.control.headReadAt = millis(freshAt)
    const { node, endpoint } = makeTrafficIds(index)
    const [effect] = this.send(at, {
      slice: 'health',
      type: 'permitAsked',
      callId: toId('1'),
      holder: node,
      service: toId('stock'),
      endpoint,
      askedAt: millis(askedAt)
    })
    return (effect as Extract<typeof effect, { type: 'answerPermit' }>).answer
  }

  release (at: number, index: number, askedAt: number): void {
    const { node, endpoint } = makeTrafficIds(index)
    this.send(at, {
      slice: 'health', type: 'permitReleased', holder: node, service: toId('stock'), endpoint, askedAt: millis(askedAt)
    })
  }

  private send (at: number, body: EventBody): ReturnType<typeof reduce> {
    return reduce(this.node.state, createEvent(body, millis(at)))
  }
}

const granted = { kind: 'granted', lifetime: 5_000 }
const floorDenied = { kind: 'denied', reason: 'floor' }
const unready = { kind: 'denied', reason: 'unready' }

describe('the owner of ejection permits', () => {
  // Guards against: ejections that reduce the healthy slots below the floor (I1).
  it('grants permits down to the floor, and another one after a permit has ended', () => {
    const owner = new Owner()
    expect([1, 2, 3].map((index) => owner.ask(READY, index))).toEqual([granted, granted, granted])
    expect(owner.ask(READY, 4)).toEqual(floorDenied)
    expect(owner.ask(READY + 100, 3)).toEqual(granted)
    owner.release(READY + 200, 2, READY)
    expect(owner.ask(READY + 200, 4)).toEqual(granted)
    expect(owner.ask(READY + 5_050, 5)).toEqual(floorDenied)
    expect(owner.ask(READY + 5_100, 5)).toEqual(granted)
  })

  // Guards against: dead or draining slots that are counted as healthy.
  it('counts dead and draining endpoints as unhealthy, and ignores endpoints that left', () => {
    const draining = { endpoints: [makeEndpoint({ id: makeTrafficIds(2).endpoint, state: 'draining' })], endpointsVersion: 2 }
    const owner = new Owner()
    owner.learn(1, 1, 'dead')
    owner.learn(1, 2, 'alive', draining)
    expect([owner.ask(READY, 3), owner.ask(READY, 4)]).toEqual([granted, floorDenied])
    const smaller = new Owner()
    smaller.learn(1, 1, 'left')
    expect([3, 4, 5].map((index) => smaller.ask(READY, index))).toEqual([granted, granted, floorDenied])
  })

  // Guards against: an ejection that continues although endpoints have died since.
  it('does not renew a permit below the floor', () => {
    const owner = new Owner()
    expect([1, 2, 3].map((index) => owner.ask(READY, index))).toEqual([granted, granted, granted])
    owner.learn(READY + 1, 4, 'dead')
    expect(owner.ask(READY + 2, 1)).toEqual(floorDenied)
  })

  // Guards against: ejections by a new owner that does not know the previous owner's permits, and by a previous owner
  // that was paused and does not know that it was replaced.
  it('waits 5 s as a new owner, grants nothing while it is not fresh, and limits lifetimes by its freshness', () => {
    const owner = new Owner()
    expect(owner.ask(READY - 1, 1)).toEqual(unready)
    expect(owner.ask(READY + 2_000, 1, { freshAt: READY })).toEqual({ kind: 'granted', lifetime: 3_000 })
    expect(owner.ask(READY + 2_600, 1, { freshAt: READY })).toEqual(unready)
    assignOwner(owner.node, 1, 2)
    expect(owner.ask(READY + 2_700, 2)).toEqual(unready)
    assignOwner(owner.node, 0, 3)
    expect(owner.ask(READY + 2_800, 2)).toEqual(unready)
    expect(owner.ask(READY + 7_799, 2)).toEqual(unready)
    expect(owner.ask(READY + 7_801, 2)).toEqual(granted)
  })

  // Guards against: a late release that removes a permit which its holder has requested since.
  it('ignores a release that is older than the permit', () => {
    const owner = new Owner()
    for (const index of [1, 2, 3]) owner.ask(READY, index, { askedAt: READY })
    owner.ask(READY + 10, 3, { askedAt: READY + 9 })
    owner.release(READY + 20, 3, READY)
    expect(owner.ask(READY + 30, 4)).toEqual(floorDenied)
  })
})
