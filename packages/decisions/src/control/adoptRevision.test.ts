import { createDocument } from '@lavenderturn/declaration'
import { makeFleetDeclaration, makeState } from '@lavenderturn/fixtures'
import { millis, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import type { EventBody } from '../NodeEvent'
import type { NodeState } from '../NodeState'
import { reduce } from '../reduce'

function makeStateAt (revision: number): NodeState {
  const state = makeState()
  const document = createDocument({ declaration: makeFleetDeclaration(), revision: toId(revision) })
  reduce(state, { at: millis(0), slice: 'control', type: 'documentAccepted', document })
  return state
}

function makeSnapshot (revision: number): EventBody {
  return {
    slice: 'control',
    type: 'snapshotFetched',
    fetchId: toId('late'),
    snapshot: {
      revision: toId(revision),
      declarationRevision: toId(revision),
      declaration: makeFleetDeclaration(),
      assignment: []
    }
  }
}

function makeDeltas (...revisions: number[]): EventBody {
  return {
    slice: 'control',
    type: 'deltasFetched',
    fetchId: toId('late'),
    revision: toId(revisions.at(-1)!),
    deltas: revisions.map((revision) => ({ revision: toId(revision), assignment: [] }))
  }
}

describe('adoption of fetched revisions', () => {
  // Guards against a withdrawn key that becomes valid again because an older revision arrives late.
  it.each([
    ['an earlier snapshot', makeSnapshot(3), 5],
    ['a later snapshot', makeSnapshot(9), 9],
    ['an earlier delta', makeDeltas(4), 5],
    ['a delta after a gap', makeDeltas(7), 5],
    ['deltas that overlap the revision in force', makeDeltas(4, 5, 6, 7), 7],
    ['deltas in descending order', makeDeltas(7, 6), 7]
  ])('ends at the right revision after %s', (_, event, expected) => {
    const state = makeStateAt(5)
    reduce(state, { ...event, at: millis(1) })
    expect(state.control.revision).toBe(expected)
  })
})
