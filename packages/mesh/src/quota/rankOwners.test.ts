import { atTime, makeFleetConfiguration, makeMemberRecord, makeMeshState } from '@lavenderturn/fixtures/mesh'
import { type GrantId, millis, type NodeId, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import type { MeshState } from '../MeshState'
import { reduceMesh } from '../reduceMesh'
import { rankOwners } from './rankOwners'

const NODES = ['node-1', 'node-2', 'node-3', 'node-4', 'node-5', 'node-6']

function makeNodeState (own: string, order: readonly string[], configuration = makeFleetConfiguration()): MeshState {
  const state = makeMeshState({ identity: { nodeId: toId(own) }, configuration })
  const records = order.filter((name) => name !== own).map((name) => makeMemberRecord(name))
  reduceMesh(state, atTime({ slice: 'directory', type: 'registryRead', records }, 1))
  return state
}

function listOwners (state: MeshState, team: string, count = 3): string[] {
  return rankOwners(state, { team: toId(team), count }).map(({ node }) => node)
}

describe('the owners of a team\'s rate', () => {
  it('are the same on every node, regardless of the order in which it discovered the others', () => {
    const states = [makeNodeState('node-1', NODES), makeNodeState('node-4', [...NODES].reverse())]
    for (const team of ['tent', 'peg', 'marquee', 'a', 'b']) {
      expect(listOwners(states[0]!, team)).toEqual(listOwners(states[1]!, team))
      expect(new Set(listOwners(states[0]!, team)).size).toBe(3)
    }
  })

  it('are spread over the nodes, so that no node owns the rates of most teams', () => {
    const state = makeNodeState('node-1', NODES)
    const counts = new Map<string, number>()
    for (let index = 0; index < 600; index++) {
      const [first] = listOwners(state, `team-${index}`, 1)
      counts.set(first!, (counts.get(first!) ?? 0) + 1)
    }
    expect(Math.min(...NODES.map((node) => counts.get(node) ?? 0))).toBeGreaterThan(60)
    expect(Math.max(...counts.values())).toBeLessThan(160)
  })

  it('change only for the teams of a node that left', () => {
    const state = makeNodeState('node-1', NODES)
    const teams = Array.from({ length: 50 }, (_, index) => `team-${index}`)
    const before = teams.map((team) => listOwners(state, team, 2))
    state.directory.members.get(toId('node-3'))!.leaving = true
    const expected = before.map(([first, second]) => first === 'node-3' ? second : first)
    expect(teams.map((team) => listOwners(state, team, 1)[0])).toEqual(expected)
  })

  it('do not count as unresponsive when they reply that a token will be available later', () => {
    const configuration = makeFleetConfiguration({ teams: [{ id: toId('tent'), ratePerSecond: 10, burst: 1 }] })
    const state = makeNodeState('node-1', NODES, configuration)
    const request = {
      slice: 'gateway',
      type: 'requestArrived',
      requestId: toId<never>('q1'),
      callerRequestId: 'q1',
      host: 'shop.example',
      path: '/',
      keyHash: toId<never>('key-of-tent'),
      fingerprint: toId<never>('f'),
      bodyBytes: 0,
      age: millis(0)
    } as const
    reduceMesh(state, atTime(request, 100))
    const [[grant, owner]] = [...state.gateway.requests.get(toId('q1'))!.grants] as [[GrantId, NodeId]]
    const message = { kind: 'token', grant, granted: false, waitMs: 90 } as const
    reduceMesh(state, atTime({ slice: 'gateway', type: 'tokenAnswered', message }, 101))
    reduceMesh(state, atTime({ slice: 'gateway', type: 'tokenDue', requestId: toId('q1') }, 191))
    expect(state.directory.members.get(owner)).toMatchObject({ missed: 0 })
    expect([...state.gateway.requests.get(toId('q1'))!.grants.values()]).toEqual([owner])
  })
})
