import {
  atTime, makeAnnouncement, makeFleetConfiguration, makeHeartbeat, makeMemberRecord, makeMeshState, makeSlotRequest,
  makeStorePosition, RelayFleet
} from '@lavenderturn/fixtures/mesh'
import { type DataCentreId, millis, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { reduceMesh } from '../reduceMesh'
import type { StorePosition } from './StorePosition'

/** The bound for configurations of the smallest deployment. */
const CONFIGURATION_BOUND_MS = 2_000

/** Age at which a node with a bound of 5 s for withdrawn keys refuses requests with keys. */
const CONFIRMATION_LIMIT_MS = 4_300

interface ReadingFixture {
  readonly at: number
  readonly position: StorePosition
  readonly revision: number
  /** Whether the reading found no change. */
  readonly unchanged?: boolean
  readonly evacuated?: readonly string[]
  readonly confirmedAt?: number
}

function read (
  state: MeshState,
  { at, position, revision, unchanged = false, evacuated, confirmedAt = at }: ReadingFixture
): MeshEffect[] {
  return reduceMesh(state, atTime({
    slice: 'configuration',
    type: 'configurationRead',
    configuration: unchanged ? undefined : makeFleetConfiguration({ revision }),
    storedRevision: toId(revision),
    evacuated: evacuated === undefined ? undefined : new Set(evacuated.map((name) => toId<DataCentreId>(name))),
    position,
    confirmed: { steadyAt: millis(confirmedAt), wallAt: millis(confirmedAt) }
  }, at))
}

/** Makes the state of a node that has read revision 7 at version 90 of the first era. */
function makeReadingState (): MeshState {
  const state = makeMeshState({ configuration: null })
  read(state, { at: 1_000, position: makeStorePosition(90), revision: 7, evacuated: [] })
  return state
}

describe('a reading of a restored store', () => {
  // Guards against a node that ignores the store until the versions that it gives out again have caught up.
  it('is in force and confirmed though its version is lower than one seen before', () => {
    const state = makeReadingState()
    read(state, { at: 5_000, position: makeStorePosition(40, 2), revision: 9, evacuated: ['dc-b'] })
    expect(state.configuration.current!.revision).toBe(9)
    expect([...state.configuration.evacuated]).toEqual(['dc-b'])
    expect(state.configuration.confirmed).toEqual({ steadyAt: 5_000, wallAt: 5_000 })
  })

  // Guards against a late reading from before the restore that takes a newer one back, however great its version is.
  it('is not taken back by a reading of the era before', () => {
    const state = makeReadingState()
    read(state, { at: 5_000, position: makeStorePosition(40, 2), revision: 7, evacuated: ['dc-b'] })
    read(state, { at: 5_100, position: makeStorePosition(95), revision: 7, evacuated: [] })
    expect([...state.configuration.evacuated]).toEqual(['dc-b'])
  })

  // Guards against a copy that counts as proof that a lost configuration, which may have withdrawn a key, was never
  // followed by another one.
  it('does not confirm what is in force while the store has an older revision, nor do later ones without a change', () => {
    const state = makeReadingState()
    read(state, { at: 5_000, position: makeStorePosition(40, 2), revision: 6, evacuated: [] })
    read(state, { at: 6_000, position: makeStorePosition(41, 2), revision: 6, unchanged: true })
    expect(state.configuration.current!.revision).toBe(7)
    expect(state.configuration.confirmed).toEqual({ steadyAt: 1_000, wallAt: 1_000 })
    read(state, { at: 7_000, position: makeStorePosition(42, 2), revision: 7 })
    expect(state.configuration.confirmed).toEqual({ steadyAt: 7_000, wallAt: 7_000 })
  })
})

describe('a process that started after the restore and has read the copy', () => {
  // Guards against a route or a key that comes back with the copy, although a neighbour knows the later revision.
  it('takes over the later revision of a neighbour that has not read the restored store', () => {
    const state = makeMeshState({ configuration: null })
    read(state, { at: 5_000, position: makeStorePosition(40, 2), revision: 6, evacuated: ['dc-b'] })
    read(state, { at: 5_500, position: makeStorePosition(90), revision: 7, evacuated: [], confirmedAt: 3_000 })
    expect(state.configuration.current!.revision).toBe(7)
    expect([...state.configuration.evacuated]).toEqual(['dc-b'])
    expect(state.configuration.confirmed).toEqual({ steadyAt: 3_000, wallAt: 3_000 })
  })
})

describe('the confirmation of a process that has read the copy', () => {
  // Guards against a withdrawn key that works since the copy has confirmed an earlier revision after the later one.
  it('is replaced by that of the neighbour whose later revision it takes over', () => {
    const state = makeMeshState({ configuration: null })
    read(state, { at: 5_000, position: makeStorePosition(40, 2), revision: 6, evacuated: [] })
    read(state, { at: 5_500, position: makeStorePosition(41, 2), revision: 7, evacuated: [], confirmedAt: 3_000 })
    expect(state.configuration.current!.revision).toBe(7)
    expect(state.configuration.confirmed).toEqual({ steadyAt: 3_000, wallAt: 3_000 })
  })
})

describe('a process that has read the copy and hears of a later revision', () => {
  interface Hearing {
    readonly state: MeshState
    /** What the heartbeat of the neighbour causes. */
    readonly effects: MeshEffect[]
  }

  /** Makes the state of a process that has read revision 6 of the copy and gets a heartbeat of a neighbour. */
  function makeHearingState ({ revision }: { readonly revision: number }): Hearing {
    const state = makeMeshState({ configuration: null })
    reduceMesh(state, atTime({ slice: 'directory', type: 'registryRead', records: [makeMemberRecord('node-2')] }, 4_900))
    read(state, { at: 5_000, position: makeStorePosition(40, 2), revision: 6, evacuated: [] })
    const message = makeHeartbeat('node-2', { revision: toId(revision) })
    const from = makeMemberRecord('node-2').peerAddress
    const effects = reduceMesh(state, atTime({ slice: 'directory', type: 'beatReceived', message, from }, 5_100))
    return { state, effects }
  }

  function listFetches (effects: readonly MeshEffect[]): MeshEffect[] {
    return effects.filter(({ slice, type }) => slice === 'configuration' && type === 'fetch')
  }

  // Guards against a process that follows the store, queries no neighbour, and serves an old configuration although
  // each heartbeat of its neighbours tells the later revision.
  it('gets the later revision from the neighbour', () => {
    expect(listFetches(makeHearingState({ revision: 7 }).effects)).toHaveLength(1)
    expect(listFetches(makeHearingState({ revision: 6 }).effects)).toEqual([])
  })

  // Guards against a process that serves the copy until the first heartbeat, although the introductions of its
  // neighbours come before it is ready.
  it('confirms nothing that the introduction of a neighbour has shown to be old', () => {
    const state = makeMeshState({ configuration: null })
    const message = { kind: 'hello', ...makeMemberRecord('node-2'), wantsReply: false, revision: toId<never>(7) } as const
    reduceMesh(state, atTime({ slice: 'directory', type: 'helloReceived', message }, 4_900))
    read(state, { at: 5_000, position: makeStorePosition(40, 2), revision: 6, evacuated: [] })
    expect(state.configuration.confirmed).toBeUndefined()
    const effects = reduceMesh(state, atTime({ slice: 'directory', type: 'helloReceived', message }, 5_010))
    expect(listFetches(effects)).toHaveLength(1)
  })

  // Guards against a withdrawn key that works for as long as the store has the copy.
  it('does not confirm the earlier revision any more', () => {
    const { state } = makeHearingState({ revision: 7 })
    read(state, { at: 5_500, position: makeStorePosition(41, 2), revision: 6, unchanged: true })
    expect(state.configuration.confirmed).toEqual({ steadyAt: 5_000, wallAt: 5_000 })
    read(state, { at: 6_000, position: makeStorePosition(42, 2), revision: 7 })
    expect(state.configuration.confirmed).toEqual({ steadyAt: 6_000, wallAt: 6_000 })
  })
})

describe('an evacuation that a restored store lacks', () => {
  function isOpen (state: MeshState, at: number): boolean {
    const message = makeSlotRequest({ reservation: toId(`reservation-${at}`) })
    const announcement = makeAnnouncement({ seq: at })
    reduceMesh(state, atTime({ slice: 'admission', type: 'serverAnnounced', announcement }, at))
    const [reply] = reduceMesh(state, atTime({ slice: 'admission', type: 'slotAsked', message }, at))
    return reply?.slice === 'peer' && reply.message.kind === 'slot' && reply.message.verdict === 'granted'
  }

  function makeEvacuatedState (): MeshState {
    const state = makeReadingState()
    read(state, { at: 2_000, position: makeStorePosition(91), revision: 7, evacuated: ['dc-a'] })
    read(state, { at: 5_000, position: makeStorePosition(40, 2), revision: 7, evacuated: [] })
    return state
  }

  // Guards against requests in a data centre that was taken out, before the operators have written that again.
  it('holds until the operators can have written it again', () => {
    const state = makeEvacuatedState()
    expect(isOpen(state, 9_000)).toBe(false)
    expect(isOpen(state, 15_100)).toBe(true)
  })

  it('ends when the operators take it back after they have written it again', () => {
    const state = makeEvacuatedState()
    read(state, { at: 6_000, position: makeStorePosition(41, 2), revision: 7, evacuated: ['dc-a'] })
    expect(isOpen(state, 7_000)).toBe(false)
    read(state, { at: 8_000, position: makeStorePosition(42, 2), revision: 7, evacuated: [] })
    expect(isOpen(state, 8_100)).toBe(true)
  })

  // Guards against a late reading that takes an evacuation for lost which the operators have taken back.
  it('is not kept if it is taken back within an era', () => {
    const state = makeReadingState()
    read(state, { at: 2_000, position: makeStorePosition(91), revision: 7, evacuated: ['dc-a'] })
    read(state, { at: 5_000, position: makeStorePosition(92), revision: 7, evacuated: [] })
    expect(isOpen(state, 5_100)).toBe(true)
  })
})

describe('a report of another node about a restored store', () => {
  /** Makes a node that has read the store and queries its neighbour, and returns the query. */
  function makeAskingState (): { readonly state: MeshState, readonly query: string } {
    const state = makeReadingState()
    reduceMesh(state, atTime({ slice: 'directory', type: 'registryRead', records: [makeMemberRecord('node-2')] }, 9_900))
    const effects = reduceMesh(state, atTime({ slice: 'configuration', type: 'checkDue' }, 10_000))
    for (const effect of effects) {
      if (effect.slice === 'peer' && effect.message.kind === 'askConfirmation') return { state, query: effect.message.query }
    }
    throw new Error('no query was sent')
  }

  function report (state: MeshState, query: string, position: StorePosition, evacuated: readonly string[]): void {
    const message = {
      kind: 'confirmation',
      query: toId<never>(query),
      node: toId<never>('node-2'),
      following: true,
      revision: toId<never>(7),
      ...position,
      ageMs: 100,
      evacuated: evacuated.map((name) => toId<DataCentreId>(name))
    } as const
    reduceMesh(state, atTime({ slice: 'configuration', type: 'confirmationReported', message }, 10_005))
  }

  // Guards against a node that learns nothing more from its neighbours once they have read the restored store.
  it('is believed though its version is lower than one seen before', () => {
    const { state, query } = makeAskingState()
    report(state, query, makeStorePosition(40, 2), ['dc-b'])
    expect([...state.configuration.evacuated]).toEqual(['dc-b'])
    expect(state.configuration.confirmed).toEqual({ steadyAt: 9_900, wallAt: 9_900 })
  })

  // Guards against a neighbour that has not noticed the restore and takes an evacuation back.
  it('replaces nothing if it is of the era before', () => {
    const { state, query } = makeAskingState()
    read(state, { at: 10_001, position: makeStorePosition(40, 2), revision: 7, evacuated: ['dc-b'] })
    report(state, query, makeStorePosition(95), [])
    expect([...state.configuration.evacuated]).toEqual(['dc-b'])
  })
})

describe('a fleet whose store is restored', () => {
  // Guards against nodes that learn from each other about the restored store more slowly than the bound.
  it.each([9, 47, 173])('has the next revision in force within the bound and stays confirmed, %i nodes', (nodesPerDataCentre) => {
    const fleet = new RelayFleet({ dataCentres: 3, nodesPerDataCentre })
    for (let round = 0; round < 20; round++) fleet.writeRevision()
    fleet.runUntil(6_000)
    fleet.restoreStore({ lostVersions: 15 })
    const start = fleet.now
    fleet.writeRevision()
    const isMissing = (): boolean => fleet.list().some(({ revision }) => revision < 22)
    while (fleet.now < start + 20_000 && isMissing()) fleet.runUntil(fleet.now + 10)
    expect(fleet.now - start).toBeLessThan(CONFIGURATION_BOUND_MS)
    fleet.runUntil(fleet.now + 6_000)
    expect(Math.max(...fleet.list().map(({ ageMs }) => ageMs))).toBeLessThan(CONFIRMATION_LIMIT_MS)
  })
})
