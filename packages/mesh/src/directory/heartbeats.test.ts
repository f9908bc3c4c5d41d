import { atTime, makeLoadSummary, makeMemberRecord, makeMeshState } from '@lavenderturn/fixtures/mesh'
import { millis, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { reduceMesh } from '../reduceMesh'
import { isAlive } from './isAlive'
import type { Member } from './Member'
import { recordReply } from './recordReply'

/** Nodes of each data centre that may own rates. */
const OWNERS = 6

/** Makes the state of a node that knows a whole fleet. */
function makeFleetMember ({ own = 0, nodes, dataCentres }: {
  readonly own?: number, readonly nodes: number, readonly dataCentres: number
}): MeshState {
  const makeRecord = (index: number): ReturnType<typeof makeMemberRecord> => {
    return { ...makeMemberRecord(`node-${index}`), dataCentre: toId(`dc-${index % dataCentres}`) }
  }
  const state = makeMeshState({ identity: makeIdentity(own, dataCentres) })
  const records = Array.from({ length: nodes }, (_, index) => makeRecord(index))
    .filter(({ node }) => node !== state.identity.nodeId)
  reduceMesh(state, atTime({ slice: 'directory', type: 'registryRead', records }, 1))
  return state
}

function makeIdentity (own: number, dataCentres: number): Partial<MeshState['identity']> {
  return { nodeId: toId(`node-${own}`), dataCentre: toId(`dc-${own % dataCentres}`) }
}

/** Heartbeats that a node sends to other data centres in 2 s. */
function countRemoteHeartbeats (state: MeshState): number {
  const isRemote = (effect: MeshEffect): boolean => {
    if (effect.slice !== 'peer' || effect.message.kind !== 'beat') return false
    const member = [...state.directory.members.values()].find(({ peerAddress }) => peerAddress === effect.to)
    return member!.dataCentre !== state.identity.dataCentre
  }
  let count = 0
  for (let tick = 0; tick < 4; tick++) {
    count += reduceMesh(state, atTime({ slice: 'directory', type: 'beatDue' }, 10 + tick * 500)).filter(isRemote).length
  }
  return count
}

function isOwner (state: MeshState): boolean {
  return state.directory.members.get(state.identity.nodeId)!.mayOwnRates
}

function listOwners (state: MeshState): Member[] {
  return [...state.directory.members.values()].filter(({ mayOwnRates }) => mayOwnRates)
}

function receiveHeartbeat (state: MeshState, { node, boot, peerAddress: from }: Member, at: number): void {
  const message = {
    kind: 'beat', node, boot, load: makeLoadSummary(), revision: toId<never>(1), leaving: false, hearsReceiver: true
  } as const
  reduceMesh(state, atTime({ slice: 'directory', type: 'beatReceived', message, from }, at))
}

function findOwn (
  options: { readonly nodes: number, readonly dataCentres: number, readonly owner: boolean }
): MeshState {
  for (let own = 0; own < options.nodes; own++) {
    const state = makeFleetMember({ ...options, own })
    if (isOwner(state) === options.owner) return state
  }
  throw new Error('no such node')
}

describe('heartbeats between data centres', () => {
  // Guards against heartbeats to all nodes, which grow with the square of the fleet and cost the most of all traffic.
  it.each([
    [30, 3], [100, 4], [236, 5], [2_600, 15]
  ])('of most of %i nodes in %i data centres go to the owners of rates only', (nodes, dataCentres) => {
    expect(countRemoteHeartbeats(findOwn({ nodes, dataCentres, owner: false }))).toBe(OWNERS * (dataCentres - 1))
  })

  it('of an owner go to all nodes', () => {
    const state = findOwn({ nodes: 100, dataCentres: 4, owner: true })
    expect(countRemoteHeartbeats(state)).toBe(75)
  })

  it('go to the same owners on every node', () => {
    const lists = [0, 7, 22].map((own) => {
      return listOwners(makeFleetMember({ own, nodes: 100, dataCentres: 4 })).map(({ node }) => node).sort()
    })
    expect(lists[0]).toHaveLength(OWNERS * 4)
    expect(lists[1]).toEqual(lists[0])
    expect(lists[2]).toEqual(lists[0])
  })

  it('of owners that fall silent are expected from others in their place', () => {
    const state = makeFleetMember({ nodes: 100, dataCentres: 4 })
    const silent = listOwners(state).map(({ node }) => node).find((node) => node !== state.identity.nodeId)!
    for (let at = 500; at <= 60_000; at += 500) {
      for (const member of state.directory.members.values()) {
        if (member.node === silent || !member.sendsHeartbeats) continue
        receiveHeartbeat(state, member, at)
      }
      reduceMesh(state, atTime({ slice: 'directory', type: 'beatDue' }, at))
      const owners = listOwners(state)
      expect(owners).toHaveLength(OWNERS * 4)
      if (at > 5_500 && at < 30_000) expect(owners.some(({ node }) => node === silent)).toBe(false)
    }
  })
})

describe('introductions', () => {
  // Guards against a node that never learns of another one because the only introduction was lost.
  it('are repeated to nodes that have not replied, also to those that get no heartbeats, and end', () => {
    const state = findOwn({ nodes: 100, dataCentres: 4, owner: false })
    const replied = [...state.directory.members.values()].find(({ sendsHeartbeats }) => !sendsHeartbeats)!
    recordReply(state, replied.node)
    replied.lastHeardAt = millis(100)
    const counts = new Map<string, number>()
    for (let at = 500; at <= 30_000; at += 500) {
      for (const effect of reduceMesh(state, atTime({ slice: 'directory', type: 'beatDue' }, at))) {
        if (effect.slice !== 'peer' || effect.message.kind !== 'hello') continue
        counts.set(effect.to, (counts.get(effect.to) ?? 0) + 1)
      }
    }
    expect(counts.has(replied.peerAddress)).toBe(false)
    expect(counts.size).toBe(98)
    expect(new Set(counts.values())).toEqual(new Set([4]))
  })
})

describe('a data centre that cannot be reached', () => {
  // Guards against tokens that are requested from one unreachable node after the other while a data centre is cut off.
  it('provides no owners in place of those that fell silent', () => {
    const state = makeFleetMember({ nodes: 100, dataCentres: 4 })
    const isReachable = (member: Member): boolean => member.dataCentre !== toId('dc-1')
    const before = listOwners(state).filter((member) => !isReachable(member)).map(({ node }) => node)
    for (let at = 500; at <= 40_000; at += 500) {
      for (const member of state.directory.members.values()) {
        if (member.sendsHeartbeats && isReachable(member)) receiveHeartbeat(state, member, at)
      }
      reduceMesh(state, atTime({ slice: 'directory', type: 'beatDue' }, at))
      const unreachable = listOwners(state).filter((member) => !isReachable(member))
      expect(unreachable.map(({ node }) => node)).toEqual(before)
      if (at > 5_500) expect(unreachable.some((member) => isAlive(state, member))).toBe(false)
    }
  })
})

describe('a node that sends no heartbeats', () => {
  it('counts as running until it leaves a request unanswered, and again after the time for which it is avoided', () => {
    const state = findOwn({ nodes: 100, dataCentres: 4, owner: false })
    const member = [...state.directory.members.values()].find(({ sendsHeartbeats }) => !sendsHeartbeats)!
    reduceMesh(state, atTime({ slice: 'directory', type: 'beatDue' }, 3_000))
    expect(isAlive(state, member)).toBe(true)
    member.avoidUntil = millis(4_000)
    expect(isAlive(state, member)).toBe(false)
    reduceMesh(state, atTime({ slice: 'directory', type: 'beatDue' }, 4_000))
    expect(isAlive(state, member)).toBe(true)
  })
})
