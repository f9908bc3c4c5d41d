import { makeState } from '@lavenderturn/fixtures'
import { millis, toId } from '@lavenderturn/types'
import { describe, expect, it } from 'vitest'
import { createEvent } from '../createEvent'
import { reduce } from '../reduce'
import type { AnnouncementReceived } from './AnnouncementEvent'
import { endpointIdOf } from './endpointIdOf'
import { ANNOUNCEMENT_TIMEOUT } from './reduceAnnouncement'

describe('announcements of backend servers', () => {
  const endpoint = endpointIdOf(toId('node-a'), toId('stock'), toId('127.0.0.1:90'))

  function announce (state = makeState(), options: Partial<AnnouncementReceived> = {}) {
    const effects = reduce(state, createEvent({
      slice: 'announcement',
      type: 'received',
      service: toId('stock'),
      address: toId('127.0.0.1:90'),
      slots: 3,
      bootId: toId('boot-1'),
      state: 'serving',
      ...options
    }, millis(0)))
    return { state, effects }
  }

  it('add the backend server and set the announcement timeout', () => {
    const { state, effects } = announce()
    expect(state.admission.servers.get(endpoint)).toMatchObject({ slots: 3, state: 'serving' })
    expect(effects).toContainEqual(expect.objectContaining({ type: 'set', delay: ANNOUNCEMENT_TIMEOUT }))
  })

  it('with the state "leaving" drain the backend server', () => {
    const { state } = announce()
    announce(state, { state: 'leaving' })
    expect(state.admission.servers.get(endpoint)).toMatchObject({ state: 'draining' })
  })

  it('that are missing withdraw the backend server', () => {
    const { state } = announce()
    reduce(state, createEvent({ slice: 'announcement', type: 'missed', endpoint }, ANNOUNCEMENT_TIMEOUT))
    expect(state.admission.servers.size).toBe(0)
  })
})
