import { isEvacuated } from '../configuration/isEvacuated'
import type { MeshState } from '../MeshState'
import type { SlotRefusal } from '../messages/PeerMessage'
import { findVersionRoom } from '../rollout/findVersionRoom'
import { MAX_MISSED_ANNOUNCEMENTS } from './admissionTimings'

/**
 * Finds the reason why the backend server of this instance accepts no new work.
 *
 * @param state - the node's state
 * @returns the reason, or undefined if the server accepts new work
 * @internal
 */
export function findUnavailableReason (state: MeshState): SlotRefusal | undefined {
  return findServerFault(state) ?? (findVersionRoom(state) > 0 ? undefined : 'closed')
}

/**
 * Finds the reason why the backend server of this instance accepts no new work, whatever its version.
 *
 * @param state - the node's state
 * @returns the reason, or undefined if there is none
 * @internal
 */
export function findServerFault (state: MeshState): SlotRefusal | undefined {
  const { admission: { server }, bounds, directory, identity, lifecycle, now } = state
  // The registry tells whether the server has left while an earlier process of this node was running.
  if (!directory.registered) return 'closed'
  if (lifecycle.admissionClosed || server === undefined || server.state !== 'ready' || !server.reachable) return 'closed'
  if (now - server.lastAnnouncedAt > bounds.announceInterval * MAX_MISSED_ANNOUNCEMENTS) return 'closed'
  if (isEvacuated(state, identity.dataCentre)) return 'evacuated'
  return undefined
}
