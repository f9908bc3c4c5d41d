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
 * @param server - a backend server of the node
 * @returns whether it may get new work: it is not draining, and its data centre has not been taken out
 * @internal
 */
export function takesNewWork (state: NodeState, server: LocalServer): boolean {
  return server.state !== 'draining' && !isDataCentreOut(state)
}
