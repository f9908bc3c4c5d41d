import { rejectQueued } from '../admission/rejectQueued'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { findVersionRoom } from './findVersionRoom'

/**
 * Rejects the queued reservations of a server whose version gets no more requests, so that their gateways ask others.
 *
 * @param state - the node's state
 * @returns effects
 * @internal
 */
export function closeVersion (state: MeshState): MeshEffect[] {
  return findVersionRoom(state) > 0 ? [] : rejectQueued(state, 'closed')
}
