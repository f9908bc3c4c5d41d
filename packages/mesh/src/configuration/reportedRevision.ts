import { addMillis, type Revision } from '@lavenderturn/types'
import type { Member } from '../directory/Member'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { CURRENT_AGE, FETCH_TIMEOUT, REPORT_GRACE } from './configurationTimings'
import { findConfirmationAge } from './confirmationAge'

/**
 * Handles a revision that another node states in a heartbeat or an introduction. Replies to this node's own queries are
 * the usual way to a later revision; a heartbeat stands in for replies that are lost, or that this node does not expect
 * because it follows the store or has just started.
 *
 * @param state - the node's state
 * @param member - the node that states it
 * @param revision - the revision that the other node has in force
 * @returns effects
 * @internal
 */
export function learnOfRevision (state: MeshState, member: Member, revision: Revision): MeshEffect[] {
  noteReportedRevision(state, revision)
  const { configuration: { current, relay }, identity, now } = state
  // A node without a configuration reads the store and queries others already.
  if (current === undefined || revision <= current.revision) return []
  const expectsReplies = !relay.following && relay.repliedAt > 0
  if (expectsReplies && now - relay.reported!.at < REPORT_GRACE) return []
  // Traffic between data centres is charged for, and a neighbour usually has the revision soon.
  if (member.dataCentre !== identity.dataCentre && findConfirmationAge(state) <= CURRENT_AGE) return []
  return fetchConfiguration(state, member)
}

/**
 * Notes a revision that another node has in force.
 *
 * @param state - the node's state
 * @param revision - the revision
 * @internal
 */
export function noteReportedRevision ({ configuration, now }: MeshState, revision: Revision): void {
  const { current, relay } = configuration
  if (revision <= (relay.reported?.revision ?? 0)) return
  const isBehind = relay.reported !== undefined && relay.reported.revision > (current?.revision ?? 0)
  relay.reported = { revision, at: isBehind ? relay.reported!.at : now }
}

/**
 * Fetches the configuration of another node, unless a fetch is in progress.
 *
 * @param state - the node's state
 * @param member - the other node, if it is still known
 * @returns effects
 * @internal
 */
export function fetchConfiguration ({ configuration, now }: MeshState, member: Member | undefined): MeshEffect[] {
  const { relay } = configuration
  if (member === undefined || now < relay.fetchUntil) return []
  relay.fetchUntil = addMillis(now, FETCH_TIMEOUT)
  return [{ slice: 'configuration', type: 'fetch', address: member.forwardAddress }]
}
