import { atTime, makeMemberRecord, makeMeshState } from '@lavenderturn/fixtures/mesh'
import { toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import type { Member } from '../directory/Member'
import type { MeshState } from '../MeshState'
import { reduceMesh } from '../reduceMesh'
import { sampleCandidates } from './sampleCandidates'

function makeFleetState (near: number, far: number): MeshState {
  const state = makeMeshState()
  const records = Array.from({ length: near + far }, (_, index) => {
    return makeMemberRecord(`other-${index}`, { dataCentre: toId(index < near ? 'dc-a' : 'dc-b') })
  })
  reduceMesh(state, atTime({ slice: 'directory', type: 'registryRead', records }, 1))
  return state
}

function listOthers (state: MeshState): Member[] {
  return [...state.directory.members.values()].filter(({ node }) => node !== state.identity.nodeId)
}

describe('candidate sampling', () => {
  it('returns all servers of a small service', () => {
    const state = makeFleetState(20, 20)
    expect(sampleCandidates(state, listOthers(state))).toHaveLength(40)
  })

  it('limits the sample in a large fleet, so that the cost of a slot request stays constant at 2,600 nodes', () => {
    const state = makeFleetState(800, 1_800)
    const sample = sampleCandidates(state, listOthers(state))
    expect(sample.filter(({ dataCentre }) => dataCentre === 'dc-a')).toHaveLength(40)
    expect(new Set(sample.map(({ node }) => node)).size).toBe(64)
  })

  it('eventually samples every server', () => {
    const state = makeFleetState(100, 0)
    const seen = new Set<string>()
    for (let round = 0; round < 60; round++) {
      for (const { node } of sampleCandidates(state, listOthers(state))) seen.add(node)
    }
    expect(seen.size).toBe(100)
  })
})
