import { atTime, makeAnnouncement, makeMeshState, makeSlotRequest } from '@lavenderturn/fixtures/mesh'
import { toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import type { MeshState } from '../MeshState'
import { reduceMesh } from '../reduceMesh'
import type { Announcement } from './AdmissionEvent'

function announce (state: MeshState, options: Partial<Announcement>, at: number): void {
  const announcement = makeAnnouncement(options)
  reduceMesh(state, atTime({ slice: 'admission', type: 'serverAnnounced', announcement }, at))
}

function withdraw (state: MeshState, { endpoint, startedAt }: Partial<Announcement>, at: number): void {
  reduceMesh(state, atTime({ slice: 'admission', type: 'serverWithdrawn', endpoint: endpoint!, startedAt }, at))
}

/** Requests a slot and returns the reply. */
function ask (state: MeshState, id: string, at: number): string {
  const message = makeSlotRequest({ reservation: toId(id) })
  const effects = reduceMesh(state, atTime({ slice: 'admission', type: 'slotAsked', message }, at))
  const replies = effects.flatMap((effect) => {
    return effect.slice === 'peer' && effect.message.kind === 'slot' ? [effect.message.refusal ?? effect.message.verdict] : []
  })
  return replies.join()
}

describe('departures of servers that the node does not know', () => {
  // Guards against a withdrawal that overtakes the first announcement, is acknowledged and then forgotten.
  it('ignores a late announcement of a server that has withdrawn', () => {
    const state = makeMeshState()
    const { endpoint, startedAt } = makeAnnouncement()
    withdraw(state, { endpoint, startedAt }, 0)
    announce(state, {}, 2_000)
    expect(ask(state, 'a', 4_000)).toBe('closed')
  })

  // Guards against a withdrawal of the next incarnation that overtakes its announcement.
  it('ignores a late announcement of an incarnation that has withdrawn, after an earlier one was known', () => {
    const state = makeMeshState()
    const { endpoint } = makeAnnouncement()
    announce(state, { startedAt: 1_000 }, 0)
    withdraw(state, { endpoint, startedAt: 9_000 }, 10_000)
    announce(state, { startedAt: 9_000 }, 11_000)
    expect(ask(state, 'a', 11_100)).toBe('closed')
  })

  // Guards against a departure that is ignored because a later announcement was received first.
  it('closes a server whose draining announcement was overtaken by another one', () => {
    const state = makeMeshState()
    announce(state, { seq: 1 }, 0)
    announce(state, { seq: 3 }, 1_000)
    announce(state, { seq: 2, state: 'draining' }, 1_100)
    expect(ask(state, 'a', 1_200)).toBe('closed')
  })

  // Guards against a late withdrawal of an earlier server that hides the recorded departure of the latest one.
  it('takes over a recorded departure that is later than one it was told of before it read the registry', () => {
    const state = makeMeshState()
    const departure = { endpoint: makeAnnouncement().endpoint, startedAt: 9_000 }
    withdraw(state, { endpoint: toId('server-0'), startedAt: 1_000 }, 0)
    reduceMesh(state, atTime({ slice: 'directory', type: 'registryRead', records: [], departure }, 100))
    announce(state, { startedAt: 9_000 }, 200)
    expect(ask(state, 'a', 300)).toBe('closed')
  })

  // Guards against a server that stays closed although a later incarnation of it has started.
  it('accepts the announcement of a later incarnation', () => {
    const state = makeMeshState()
    const { endpoint } = makeAnnouncement()
    withdraw(state, { endpoint, startedAt: 1_000 }, 0)
    announce(state, { startedAt: 9_000 }, 10_000)
    expect(ask(state, 'a', 10_100)).toBe('granted')
  })
})
