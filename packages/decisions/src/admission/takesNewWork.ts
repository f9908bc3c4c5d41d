import type { NodeState } from '../NodeState'
import type { LocalServer } from './AdmissionState'

/**
 * @param state - the node's state
 * @returns whether operators have taken the node's data centre out
 * @internal
 */
export function isDataCentreOut (state: NodeState): boolean {
  return state.control.document?.dataCentreState(state.identity.dataCentre) === 'out'
}

/**
 * @param state - the node's state
 * @param server - a backend server beside the node
 * @returns whether it may get new work as far as operators and the server itself are concerned
 * @internal
 */
export function takesNewWork (state: NodeState, server: LocalServer): boolean {
  return server.state !== 'draining' && !isDataCentreOut(state)
}
