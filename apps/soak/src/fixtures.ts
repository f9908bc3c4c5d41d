import { type DataCentreId, millis, type NodeId, toId } from '@lavenderturn/types'
import { createSoakState, type SoakRequest, type SoakState, STEADY_TEAM } from './SoakState'
import { CALLER_TIMEOUT } from './soakTimings'

/** @returns the state of a run with one node, in the fault phase */
export function makeSoakState (): SoakState {
  const state = createSoakState({ plan: [], nodes: [{ id: toId<NodeId>('node-1'), dataCentre: toId<DataCentreId>('dc-a') }] })
  state.phase = 'faults'
  state.nodes.get(toId('node-1'))!.status = 'running'
  return state
}

/**
 * Adds a request to a run.
 *
 * @param state - the run
 * @param options - fields that differ from the defaults: sent at 0 and not run
 * @returns the request
 */
export function addSoakRequest (
  state: SoakState, options: Partial<Omit<SoakRequest, 'runs'>> & { readonly ranAt?: readonly number[] } = {}
): SoakRequest {
  const { ranAt = [], ...rest } = options
  const request: SoakRequest = {
    id: toId(`request-${state.requests.size}`),
    node: toId('node-1'),
    team: STEADY_TEAM,
    key: 'steady-key-1',
    repeatable: false,
    sentAt: millis(0),
    timeout: CALLER_TIMEOUT,
    runs: ranAt.map((at) => ({ node: toId<NodeId>('node-1'), at: millis(at) })),
    ...rest
  }
  state.requests.set(request.id, request)
  return request
}
