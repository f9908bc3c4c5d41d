import { millis, toId } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { raise } from '../raise'
import type { AnnouncementEvent, AnnouncementMissed, AnnouncementReceived } from './AnnouncementEvent'
import { endpointIdOf } from './endpointIdOf'

/** A backend server is withdrawn after this time without an announcement, which is five missed announcements. */
export const ANNOUNCEMENT_TIMEOUT = millis(5_000)

/**
 * @param state - the node's state
 * @param event - an event of this slice
 * @returns effects
 * @internal
 */
export function reduceAnnouncement (state: NodeState, event: AnnouncementEvent): NodeEffect[] {
  switch (event.type) {
    case 'received': return handleReceived(state, event)
    case 'missed': return handleMissed(state, event)
  }
}

function handleReceived (state: NodeState, event: AnnouncementReceived): NodeEffect[] {
  const { service, address, slots, bootId } = event
  const endpoint = endpointIdOf(state.identity.nodeId, service, address)
  state.announcement.lastAnnouncedAt.set(endpoint, event.at)
  return [
    {
      slice: 'timer',
      type: 'set',
      id: toId(`announcement/${endpoint}`),
      delay: ANNOUNCEMENT_TIMEOUT,
      event: { slice: 'announcement', type: 'missed', endpoint }
    },
    raise({
      slice: 'admission',
      type: 'serverAnnounced',
      endpoint,
      service,
      address,
      slots,
      bootId,
      state: event.state === 'serving' ? 'serving' : 'draining'
    })
  ]
}

function handleMissed (state: NodeState, { endpoint }: AnnouncementMissed): NodeEffect[] {
  if (!state.announcement.lastAnnouncedAt.delete(endpoint)) return []
  return [
    { slice: 'log', type: 'stateChanged', message: 'backend server withdrawn', fields: { endpoint } },
    raise({ slice: 'admission', type: 'serverWithdrawn', endpoint })
  ]
}
