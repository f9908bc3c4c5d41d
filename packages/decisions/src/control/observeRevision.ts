import type { NodeId, Revision } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { ControlState } from './ControlState'
import { startFetch } from './fetchRevision'
import { latestProofAt } from './isFresh'

/**
 * Records that a revision exists. Until the node holds it, its proof of freshness is not renewed.
 *
 * @param state - the node's state
 * @param revision - an accepted revision
 * @param source - the peer that reported it; absent if the head row shows it
 * @returns the fetch of the revision, if it is new
 * @internal
 */
export function observeRevision (state: NodeState, revision: Revision, source?: NodeId): NodeEffect[] {
  const { control } = state
  if (revision > control.highestKnownRevision) {
    raiseHighestKnownRevision(control, revision)
    control.revisionSources.clear()
    closeResolvedIntents(state, revision)
  }
  if (revision === control.highestKnownRevision && source !== undefined) control.revisionSources.add(source)
  return startFetch(state)
}

/**
 * Raises the highest known revision. The existing proof for the revision in force stays valid until it expires: the
 * later revision was accepted after that proof, so the bound on its spread still holds. Discarding the proof refused
 * team traffic after every change of the document or the assignment until the delta had been fetched.
 *
 * @param control - the slice's state
 * @param revision - an accepted revision
 * @internal
 */
export function raiseHighestKnownRevision (control: ControlState, revision: Revision): void {
  if (revision <= control.highestKnownRevision) return
  if (control.revision === control.highestKnownRevision) control.lastConfirmedAt = latestProofAt(control)
  control.highestKnownRevision = revision
}

/** Closes intents for revisions up to the given one: their compare-and-sets can no longer succeed. */
function closeResolvedIntents ({ control }: NodeState, revision: Revision): void {
  for (const intent of control.intents.values()) {
    if (intent.revision <= revision) control.intents.delete(intent.token)
  }
}
