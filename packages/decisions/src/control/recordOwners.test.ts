import { makeState } from '@lavenderturn/fixtures'
import { millis, type NodeId, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import { reduce } from '../reduce'
import { type AssignmentEntry, findOwner } from './Assignment'

function makeEntry (epoch: number, sequence: number): AssignmentEntry {
  return {
    partition: toId(7), domain: toId('dc-1'), owner: toId<NodeId>(`owner-${epoch}-${sequence}`), epoch, sequence
  }
}

describe('recordOwners', () => {
  // Guards against two owners of one partition: gossip of a hand-over may arrive after its owner was replaced.
  it.each([
    ['a hand-over', [makeEntry(1, 0), makeEntry(1, 1)], makeEntry(1, 1)],
    ['a replacement of the owner after a hand-over', [makeEntry(1, 1), makeEntry(2, 0)], makeEntry(2, 0)],
    ['a late hand-over from an earlier epoch', [makeEntry(2, 0), makeEntry(1, 3)], makeEntry(2, 0)],
    ['a late hand-over from an earlier sequence', [makeEntry(1, 2), makeEntry(1, 1)], makeEntry(1, 2)]
  ])('determines the entry in force after %s', (_, entries, expected) => {
    const state = makeState()
    for (const entry of entries) {
      reduce(state, {
        at: millis(0),
        slice: 'control',
        type: 'gossipHeard',
        from: toId('node-b'),
        heartbeats: [],
        revision: toId(0),
        assignmentChanges: [entry]
      })
    }
    expect(findOwner(state, toId(7), toId('dc-1'))).toEqual(expected)
  })
})
