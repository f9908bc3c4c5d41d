import { handleDocumentChanged } from '../admission/handleDocumentChanged'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { ControlEvent, DocumentAccepted } from './ControlEvent'

/**
 * @param state - the node's state
 * @param event - an event of the control document
 * @returns effects
 * @internal
 */
export function reduceControl (state: NodeState, event: ControlEvent): NodeEffect[] {
  switch (event.type) {
    case 'documentAccepted': return acceptDocument(state, event)
  }
}

function acceptDocument (state: NodeState, { document }: DocumentAccepted): NodeEffect[] {
  const current = state.control.document
  // Revisions only rise: an older document can arrive late from a peer that was paused.
  if (current !== undefined && document.revision <= current.revision) return []
  state.control.document = document
  return [
    {
      slice: 'log',
      type: 'stateChanged',
      message: 'control document in force',
      fields: { revision: document.revision }
    },
    ...handleDocumentChanged(state)
  ]
}
