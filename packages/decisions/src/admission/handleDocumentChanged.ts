import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { rejectQueue } from './rejectWork'
import { restartServer } from './restartServer'
import { startQueued } from './startQueued'
import { isDataCentreOut } from './takesNewWork'

/**
 * Handles a new control document. When the node's data centre is taken out, queued work is rejected at once. When it
 * returns, every backend server is treated as cold, so that requests of gateways that all return at the same time are
 * queued here instead of overloading the servers.
 *
 * @param state - the node's state, with the new document in force
 * @returns effects
 * @public
 */
export function handleDocumentChanged (state: NodeState): NodeEffect[] {
  const out = isDataCentreOut(state)
  if (out === state.admission.dataCentreOut) return []
  state.admission.dataCentreOut = out
  const servers = [...state.admission.servers.values()]
  if (out) return servers.flatMap((server) => rejectQueue(state, server, 'draining'))
  return servers.flatMap((server) => [...restartServer(state, server), ...startQueued(state, server)])
}
