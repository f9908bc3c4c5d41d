import type { NodeId, Revision } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { startFetch } from './fetchRevision'

/**
 * Learns that a revision exists. Until the node holds it, the node is not fresh.
 *
 * @param state - the node's state
 * @param revision - a revision that was accepted
 * @param teller - the peer that told; absent: the head row itself
 * @returns the fetch of the revision, if it is new
 * @internal
 */
export function hearRevision (state: NodeState, revision: Revision, teller?: NodeId): NodeEffect[] {
  const { control } = state
  if (revision > control.highestHeard) {
    control.highestHeard = revision
    control.tellers.clear()
    closeIntents(state, revision)
  }
  if (revision === control.highestHeard && teller !== undefined) control.tellers.add(teller)
  return startFetch(state)
}

/** The compare-and-set of an intent fails once the head shows its revision or a later one. */
function closeIntents ({ control }: NodeState, revision: Revision): void {
  for (const intent of control.intents.values()) {
    if (intent.revision <= revision) control.intents.delete(intent.token)
  }
}
