import type { NodeId, Revision } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { ControlState } from './ControlState'
import { startFetch } from './fetchRevision'
import { latestProofAt } from './isFresh'

/**
 * Learns that a revision exists. Until the node holds it, its proof of freshness is not renewed.
 *
 * @param state - the node's state
 * @param revision - a revision that was accepted
 * @param source - the peer that told; absent: the head row itself
 * @returns the fetch of the revision, if it is new
 * @internal
 */
export function observeRevision (state: NodeState, revision: Revision, source?: NodeId): NodeEffect[] {
  const { control } = state
  if (revision > control.highestHeard) {
    raiseHighestKnownRevision(control, revision)
    control.revisionSources.clear()
    closeResolvedIntents(state, revision)
  }
  if (revision === control.highestHeard && source !== undefined) control.revisionSources.add(source)
  return startFetch(state)
}

/**
 * Raises the highest revision heard of. What was proven of the revision in force until now still counts: the later one
 * was accepted after the proof, so that the bound on its spread is kept. Without it every change of the document or
 * the assignment refused team traffic until the delta had been fetched.
 *
 * @param control - the slice's state
 * @param revision - a revision that was accepted
 * @internal
 */
export function raiseHighestKnownRevision (control: ControlState, revision: Revision): void {
  if (revision <= control.highestHeard) return
  if (control.revision === control.highestHeard) control.heldProofAt = latestProofAt(control)
  control.highestHeard = revision
}

/** The compare-and-set of an intent fails once the head shows its revision or a later one. */
function closeResolvedIntents ({ control }: NodeState, revision: Revision): void {
  for (const intent of control.intents.values()) {
    if (intent.revision <= revision) control.intents.delete(intent.token)
  }
}
