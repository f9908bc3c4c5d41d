import { makeDocument, makeEndpoint, makeMember, makeOwnership, makeState } from '@lavenderturn/fixtures'
import { type KeyHash, type Millis, millis, type NodeId, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import { createEvent } from '../createEvent'
import type { NodeState } from '../NodeState'
import { reduce } from '../reduce'
import type { FreshnessReport } from './ControlEvent'
import { isFresh } from './isFresh'

const KEY_HASH = toId<KeyHash>('hash-of-a-key')
const PEER = toId<NodeId>('node-b')
const report: FreshnessReport = { heartbeats: [], headReadAge: 100, revision: toId(1), assignmentChanges: [] }

/** Makes the state of a node with revision 1 whose proof of freshness expired long before `now`. */
function makeStaleState (now: Millis): NodeState {
  const state = makeState()
  const record = makeMember({ nodeId: PEER, dataCentre: toId('dc-2'), endpoints: [makeEndpoint()] })
  reduce(state, { at: millis(0), slice: 'membership', type: 'memberLearned', status: 'alive', record })
  const document = makeDocument({ keys: new Map([[KEY_HASH, toId('fes')]]) })
  reduce(state, { at: millis(0), slice: 'control', type: 'documentAccepted', document })
  reduce(state, { at: now, slice: 'control', type: 'started' })
  expect(isFresh(state)).toBe(false)
  return state
}

describe('isFresh', () => {
  const now = millis(60_000)
  const head = {
    revision: toId<never>(1),
    declarationRevision: toId<never>(1),
    snapshot: toId<never>('s'),
    delta: toId<never>('d'),
    token: toId<never>('t'),
    accepted: [],
    assignmentEpoch: 1
  }

  // The next three tests guard against a process that resumes after a pause and treats queued messages as new.
  it.each([[2_500, true], [2_501, false]])('measures the age of a read of the head from its start, %i ms ago', (age, fresh) => {
    const state = makeStaleState(now)
    reduce(state, { at: now, slice: 'control', type: 'headRead', askedAt: millis(now - age), head })
    expect(isFresh(state)).toBe(fresh)
  })

  it.each([[2_400, true], [2_401, false]])('measures the age in an answer from its request, %i ms ago', (age, fresh) => {
    const state = makeStaleState(now)
    reduce(state, {
      at: now, slice: 'control', type: 'confirmAnswered', from: PEER, askedAt: millis(now - age), vouches: true, ...report
    })
    expect(isFresh(state)).toBe(fresh)
  })

  it.each([[undefined, false], [millis(now - 1), true]])('uses ages in gossip only if it answers a call, sent at %s', (askedAt, fresh) => {
    const state = makeStaleState(now)
    reduce(state, { at: now, slice: 'control', type: 'gossipHeard', from: PEER, askedAt, ...report })
    expect(isFresh(state)).toBe(fresh)
  })

  // Guards against continued service of a revision that is known to be outdated: reads of the head must not renew the
  // proof until the node holds the later revision.
  it.each([[2_500, true], [2_501, false]])('tells whether the old revision may be served %i ms after its last proof, when a later one is known', (age, fresh) => {
    const state = makeStaleState(now)
    reduce(state, { at: now, slice: 'control', type: 'headRead', askedAt: now, head })
    reduce(state, { at: now, slice: 'control', type: 'noticeHeard', from: PEER, revision: toId(2) })
    const at = millis(now + age)
    reduce(state, { at, slice: 'control', type: 'headRead', askedAt: at, head: { ...head, revision: toId<never>(2) } })
    expect(isFresh(state)).toBe(fresh)
  })

  // Guards against forwarding a team's request although its key may have been withdrawn.
  it.each([[2_500, 'forward'], [2_501, 'refuse']])('forwards or refuses a request %i ms after a proof', (age, decision) => {
    const state = makeStaleState(millis(now - age))
    for (const event of makeOwnership({ owner: state.identity.nodeId })) {
      reduce(state, createEvent(event, millis(now - age)))
    }
    reduce(state, { at: millis(now - age), slice: 'control', type: 'headRead', askedAt: millis(now - age), head })
    const effects = reduce(state, {
      at: now,
      slice: 'gateway',
      type: 'requestArrived',
      requestId: toId('request-1'),
      method: 'GET',
      path: '/stock',
      keyHash: KEY_HASH,
      keyInTarget: false,
      fingerprint: toId('fingerprint-1')
    })
    expect(effects.filter(({ slice }) => slice === 'gateway').map(({ type }) => type)).toEqual([decision])
  })

  // Guards against half of a split fleet that counts itself as the majority.
  it.each([[4, true], [5, false]])('needs more than half of the members: 5 in this data centre, %i in another', (elsewhere, fresh) => {
    const state = makeStaleState(now)
    // Members that left on purpose must not count.
    for (let count = 0; count < 5; count += 1) {
      const record = makeMember({ nodeId: toId(`own-${count}`), endpoints: [] })
      reduce(state, { at: now, slice: 'membership', type: 'memberLearned', status: 'left', record })
    }
    const heartbeat = (dataCentre: string, members: number, ageMillis: number) => ({
      dataCentre: toId<never>(dataCentre), members, ageMillis, revision: toId<never>(1)
    })
    reduce(state, {
      at: now,
      slice: 'control',
      type: 'gossipHeard',
      from: PEER,
      askedAt: now,
      ...report,
      headReadAge: undefined,
      heartbeats: [heartbeat('dc-1', 5, 100), heartbeat('dc-2', elsewhere, 2_600)]
    })
    expect(isFresh(state)).toBe(fresh)
  })
})
