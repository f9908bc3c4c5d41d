import { atTime, makeMemberRecord, makeMeshState, makeStorePosition } from '@lavenderturn/fixtures/mesh'
import { millis, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { reduceMesh } from '../reduceMesh'

const MEMBERS = 1_000

/** Processes draw their seeds from this range. */
const MAX_SEED = 2 ** 31 - 1

/** Makes a node that has written its record in the first era, and then learns that the store was restored. */
function makeRestoredState ({ seed = 1, members = MEMBERS } = {}): MeshState {
  const state = makeMeshState({ seed })
  const records = Array.from({ length: members - 1 }, (_, index) => makeMemberRecord(`member-${index}`))
  reduceMesh(state, atTime({ slice: 'directory', type: 'registryRead', records, era: toId<never>(1) }, 1_000))
  const confirmed = { steadyAt: millis(2_000), wallAt: millis(2_000) }
  const position = makeStorePosition(5, 2)
  reduceMesh(state, atTime({ slice: 'configuration', type: 'configurationRead', position, confirmed }, 2_000))
  return state
}

function beat (state: MeshState, at: number): MeshEffect[] {
  return reduceMesh(state, atTime({ slice: 'directory', type: 'beatDue' }, at))
    .filter(({ slice, type }) => slice === 'directory' && type === 'syncRegistry')
}

describe('the record of a node in a restored store', () => {
  // Guards against a large fleet that writes all its records at once, more than the store takes.
  it('is written again in a later interval by most nodes of a large fleet', () => {
    const states = Array.from({ length: 100 }, (_, index) => {
      return makeRestoredState({ seed: Math.floor(MAX_SEED * index / 100) })
    })
    const first = states.filter((state) => beat(state, 2_500).length > 0).length
    // A tenth of the nodes is expected; the bound is what a store of 400 writes a second takes.
    expect(first).toBeGreaterThan(0)
    expect(first).toBeLessThanOrEqual(20)
  })

  it('is written at once, and again until the store of the new era has it', () => {
    const state = makeRestoredState({ members: 10 })
    expect(beat(state, 2_500)).toHaveLength(1)
    reduceMesh(state, atTime({ slice: 'directory', type: 'registryRead', records: [], era: toId<never>(1) }, 2_600))
    expect(beat(state, 3_000)).toHaveLength(1)
    reduceMesh(state, atTime({ slice: 'directory', type: 'registryRead', records: [], era: toId<never>(2) }, 3_100))
    expect(beat(state, 3_500)).toHaveLength(0)
  })

  // Guards against a departure that is lost for the next process while a large fleet takes its time.
  it('is written at once by a node whose server has left', () => {
    const state = makeRestoredState()
    reduceMesh(state, atTime({ slice: 'admission', type: 'serverWithdrawn', endpoint: toId<never>('server-1') }, 2_100))
    expect(beat(state, 2_500)).toHaveLength(1)
  })
})
