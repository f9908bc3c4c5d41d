import type { Revision } from '@lavenderturn/types'
import type { MeshState } from '../MeshState'

/**
 * Notes a revision that another node has in force.
 *
 * @param state - the node's state
 * @param revision - the revision
 * @internal
 */
export function noteReportedRevision ({ configuration: { relay }, now }: MeshState, revision: Revision): void {
  if (revision > (relay.reported?.revision ?? 0)) relay.reported = { revision, at: now }
}
