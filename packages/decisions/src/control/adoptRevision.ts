import { applyDelta, type ControlDocument, createDocument, emptyDeclaration } from '@lavenderturn/declaration'
import { type Revision, toId } from '@lavenderturn/types'
import { handleDocumentChanged } from '../admission/handleDocumentChanged'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { resumeWritesAfterAdoption } from './controlWrites'
import type { ControlDelta, ControlSnapshot } from './HeadRow'
import { pushNotices } from './pushNotices'
import { recordOwners } from './recordOwners'

/** Number of deltas kept for peers; a peer that is further behind fetches the whole document. */
const MAX_RETAINED_DELTAS = 64

/**
 * Puts into force the deltas that follow the current revision without a gap.
 *
 * @param state - the node's state
 * @param deltas - accepted deltas, in any order
 * @returns notices to peers and changes of owners
 * @internal
 */
export function adoptDeltas (state: NodeState, deltas: readonly ControlDelta[]): NodeEffect[] {
  const { control } = state
  const effects: NodeEffect[] = []
  for (const delta of [...deltas].sort((a, b) => a.revision - b.revision)) {
    if (delta.revision !== control.revision + 1) continue
    if (delta.declaration !== undefined) {
      control.document = applyDelta(control.document ?? createEmptyDocument(), {
        delta: delta.declaration, revision: delta.revision
      })
    }
    retainDelta(state, delta)
    effects.push(...recordOwners(state, delta.assignment, 'head'))
    setRevision(state, delta.revision, effects)
  }
  return effects.length === 0 ? [] : effects.concat(notifyRevisionChanged(state))
}

/**
 * Puts a whole control document into force if it is newer than the current one.
 *
 * @param state - the node's state
 * @param snapshot - an accepted control document
 * @returns notices to peers and changes of owners
 * @internal
 */
export function adoptSnapshot (state: NodeState, snapshot: ControlSnapshot): NodeEffect[] {
  const { control } = state
  if (snapshot.revision <= control.revision) return []
  if (control.document?.revision !== snapshot.declarationRevision) {
    control.document = createDocument({
      declaration: snapshot.declaration, revision: snapshot.declarationRevision
    })
  }
  control.deltas.clear()
  const effects = recordOwners(state, snapshot.assignment, 'head')
  setRevision(state, snapshot.revision, effects)
  return effects.concat(notifyRevisionChanged(state))
}

/**
 * Puts into force a document that is known to be accepted.
 *
 * @param state - the node's state
 * @param document - accepted document
 * @returns notices to peers
 * @internal
 */
export function adoptDocument (state: NodeState, document: ControlDocument): NodeEffect[] {
  const { control } = state
  // Revisions only increase: an older document that arrives late is ignored.
  if (document.revision < control.highestKnownRevision) return []
  control.headReadAt = state.now
  if (document.revision <= control.revision) return []
  control.document = document
  control.deltas.clear()
  const effects: NodeEffect[] = []
  setRevision(state, document.revision, effects)
  return effects.concat(notifyRevisionChanged(state))
}

/** Notifies peers, waiting writes and the slices that depend on the document. */
function notifyRevisionChanged (state: NodeState): NodeEffect[] {
  return [...pushNotices(state), ...resumeWritesAfterAdoption(state), ...handleDocumentChanged(state)]
}

function setRevision ({ control }: NodeState, revision: Revision, effects: NodeEffect[]): void {
  control.revision = revision
  if (revision > control.highestKnownRevision) control.highestKnownRevision = revision
  effects.push({
    slice: 'log', type: 'stateChanged', message: 'control document in force', fields: { revision }
  })
}

function retainDelta ({ control }: NodeState, delta: ControlDelta): void {
  control.deltas.set(delta.revision, delta)
  control.deltas.delete(toId(delta.revision - MAX_RETAINED_DELTAS))
}

function createEmptyDocument (): ControlDocument {
  return createDocument({ declaration: emptyDeclaration(), revision: toId(0) })
}
