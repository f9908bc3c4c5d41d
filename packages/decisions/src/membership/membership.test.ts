import { makeIdentity, makeMember, makePropertyOptions, makeState, makeVirtualTime, type VirtualTime } from '@lavenderturn/fixtures'
import { type Address, type CallId, millis, type NodeId, type TimerId, toId } from '@lavenderturn/types'
import fc from 'fast-check'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { describe, expect, it } from 'vitest'
import { createEvent } from '../createEvent'
import type { RuntimeEffect } from '../NodeEffect'
import type { EventBody } from '../NodeEvent'
import type { NodeState } from '../NodeState'
import { reduce } from '../reduce'
import type { Gossip } from './Gossip'
import type { MembershipEffect } from './MembershipEffect'
import type { MemberStatus } from './MembershipState'

/** A draining endpoint must get no new work after this time (invariant I11). */
const CHANGE_BOUND_MS = 3_000

interface FleetOptions {
  readonly nodes: number
  readonly seed: number
  /** Percentage of messages that are lost. */
  readonly lossPercent?: number
}

interface Fleet {
  readonly time: VirtualTime
  readonly states: Map<NodeId, NodeState>
  /** Directions in which all messages are dropped, as `from>to`. */
  readonly blockedPaths: Set<string>
  readonly dispatch: (node: NodeId, event: EventBody) => void
  readonly kill: (node: NodeId) => void
}

const nodeId = (index: number): NodeId => toId(`node-${index}`)

function makeFleet ({ nodes, seed, lossPercent = 0 }: FleetOptions): Fleet {
  const time = makeVirtualTime()
  const random = xoroshiro128plus(seed)
  const states = new Map<NodeId, NodeState>()
  const blockedPaths = new Set<string>()
  const timers = new Map<string, number>()
  const answers = new Map<CallId, (gossip: Gossip) => void>()
  let calls = 0
  let timerVersions = 0

  const dispatch = (node: NodeId, event: EventBody): void => {
    const state = states.get(node)
    if (state === undefined) return
    for (const effect of reduce(state, createEvent(event, millis(time.now())))) run(node, effect)
  }
  const send = (from: NodeId, to: NodeId, arrive: () => void): void => {
    const lost = uniformInt(random, 0, 99) < lossPercent
    if (lost || blockedPaths.has(`${from}>${to}`) || !states.has(to)) return
    time.after(uniformInt(random, 1, 20), arrive)
  }
  const callGossip = (
    from: NodeId, to: NodeId, gossip: Gossip, full: boolean, reply: (gossip: Gossip) => void
  ): void => {
    send(from, to, () => {
      const callId = toId<CallId>(String(calls++))
      answers.set(callId, (answer) => { send(to, from, () => { reply(answer) }) })
      dispatch(to, { slice: 'membership', type: 'gossipAsked', callId, gossip, full })
    })
  }
  const setTimer = (node: NodeId, id: TimerId, delay: number, event: EventBody): void => {
    const key = `${node}/${id}`
    const version = timerVersions++
    timers.set(key, version)
    time.after(delay, () => { if (timers.get(key) === version) dispatch(node, event) })
  }
  const run = (node: NodeId, effect: RuntimeEffect): void => {
    if (effect.slice === 'membership') runMembership(node, effect)
    if (effect.slice !== 'timer') return
    if (effect.type === 'set') setTimer(node, effect.id, effect.delay, effect.event)
    else timers.delete(`${node}/${effect.id}`)
  }
  const nodeAt = (address: Address): NodeId => toId(address)
  const runMembership = (node: NodeId, effect: MembershipEffect): void => {
    switch (effect.type) {
      case 'sendGossip':
        callGossip(node, nodeAt(effect.address), effect.gossip, effect.full, (gossip) => {
          dispatch(node, { slice: 'membership', type: 'gossipAnswered', gossip, askedAt: effect.askedAt })
        })
        break
      case 'sendProbe':
        callGossip(node, nodeAt(effect.address), effect.gossip, false, (gossip) => {
          dispatch(node, { slice: 'membership', type: 'probeAnswered', probeId: effect.probeId, answer: { gossip, askedAt: effect.askedAt } })
        })
        break
      case 'sendIndirectProbe': {
        const { via, target, probeId } = effect
        send(node, nodeAt(via), () => {
          send(nodeAt(via), target, () => {
            send(target, nodeAt(via), () => {
              send(nodeAt(via), node, () => {
                dispatch(node, { slice: 'membership', type: 'probeAnswered', probeId })
              })
            })
          })
        })
        break
      }
      case 'answerGossip': {
        answers.get(effect.callId)?.(effect.gossip)
        answers.delete(effect.callId)
      }
    }
  }

  for (let index = 0; index < nodes; index++) {
    const id = nodeId(index)
    states.set(id, makeState({
      seed: seed + index,
      identity: makeIdentity({
        nodeId: id, dataCentre: toId(`dc-${index % 3}`), controlAddress: toId(id), forwardAddress: toId(id)
      })
    }))
  }
  for (const id of states.keys()) dispatch(id, { slice: 'membership', type: 'started', seeds: [toId(nodeId(0))] })
  return { time, states, blockedPaths, dispatch, kill: (node) => { states.delete(node) } }
}

function collectStatuses ({ states }: Fleet, node: NodeId): Set<MemberStatus | 'unknown'> {
  const others = [...states].filter(([id]) => id !== node)
  return new Set(others.map(([, { membership }]) => membership.members.get(node)?.status ?? 'unknown'))
}

function announce (fleet: Fleet, node: NodeId, state: 'serving' | 'draining'): void {
  fleet.dispatch(node, {
    slice: 'admission',
    type: 'serverAnnounced',
    endpoint: toId('endpoint-a'),
    service: toId('stock'),
    address: toId('127.0.0.1:9'),
    slots: 4,
    bootId: toId('boot-1'),
    state
  })
}

function collectEndpointStates ({ states }: Fleet): Set<string> {
  return new Set([...states.values()].map(({ membership }) => {
    return membership.directory.get(toId('stock'))?.get(toId('endpoint-a'))?.endpoint.state ?? 'unknown'
  }))
}

describe('membership', () => {
  // Guards against new work for a draining backend server after the bound (I11), also if messages are lost.
  it('spreads a draining backend server to every node within 3 s (I11) although messages are lost', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 1_000_000 }), (seed) => {
      const fleet = makeFleet({ nodes: 45, seed, lossPercent: 5 })
      fleet.time.run(20_000)
      announce(fleet, nodeId(7), 'serving')
      fleet.time.run(CHANGE_BOUND_MS)
      expect(collectEndpointStates(fleet)).toEqual(new Set(['serving']))
      announce(fleet, nodeId(7), 'draining')
      fleet.time.run(CHANGE_BOUND_MS)
      expect(collectEndpointStates(fleet)).toEqual(new Set(['draining']))
    }), makePropertyOptions({ runs: 10 }))
  })

  // Guards against failed members that stay in the list, and against false suspicions of live members.
  it('declares a killed node dead at every node and no live node', () => {
    const fleet = makeFleet({ nodes: 45, seed: 7, lossPercent: 2 })
    fleet.time.run(20_000)
    fleet.kill(nodeId(3))
    fleet.time.run(15_000)
    expect(collectStatuses(fleet, nodeId(3))).toEqual(new Set(['dead']))
    for (const id of fleet.states.keys()) expect(collectStatuses(fleet, id).has('dead')).toBe(false)
  })

  // Guards against declaring a member dead that only one other node cannot reach.
  it('keeps a member alive if one path to it is blocked in one direction', () => {
    const fleet = makeFleet({ nodes: 12, seed: 11 })
    fleet.time.run(10_000)
    fleet.blockedPaths.add(`${nodeId(1)}>${nodeId(2)}`)
    fleet.time.run(120_000)
    expect(collectStatuses(fleet, nodeId(2))).toEqual(new Set(['alive']))
  })

  // Guards against a fleet that stays split after a network partition.
  it('merges two sides after a partition in which each declared the other dead', () => {
    const fleet = makeFleet({ nodes: 20, seed: 5 })
    fleet.time.run(10_000)
    for (let left = 0; left < 10; left++) {
      for (let right = 10; right < 20; right++) {
        fleet.blockedPaths.add(`${nodeId(left)}>${nodeId(right)}`).add(`${nodeId(right)}>${nodeId(left)}`)
      }
    }
    fleet.time.run(60_000)
    expect(fleet.states.get(nodeId(0))!.membership.members.get(nodeId(15))!.status).toBe('dead')
    fleet.blockedPaths.clear()
    fleet.time.run(60_000)
    for (const id of fleet.states.keys()) expect(collectStatuses(fleet, id)).toEqual(new Set(['alive']))
  })

  // Guards against a member that becomes alive again because old gossip arrives after it has left.
  it('ignores old gossip about a node that has left', () => {
    const state = makeState()
    const record = makeMember({ nodeId: nodeId(1) })
    for (const status of ['alive', 'left', 'alive', 'suspect'] as const) {
      reduce(state, createEvent({ slice: 'membership', type: 'memberLearned', record, status }, millis(1)))
    }
    expect(state.membership.members.get(nodeId(1))!.status).toBe('left')
  })
})
