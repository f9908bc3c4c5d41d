import type { EndpointId } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import { InvariantError } from './InvariantError'

/**
 * I6: a backend server never runs more work than its slots and its current concurrency limit allow.
 *
 * @param state - the state after a dispatch
 * @param endpointId - the endpoint that got the work
 * @throws InvariantError when there is more work than slots
 * @internal
 */
export function assertSlotsRespected (state: NodeState, endpointId: EndpointId): void {
  const server = state.admission.servers.get(endpointId)
  if (server === undefined) throw new InvariantError('I6', `work for ${endpointId}, which is not announced here`)
  if (server.inFlight > server.slots) {
    throw new InvariantError('I6', `${server.inFlight} requests in ${server.slots} slots of ${endpointId}`)
  }
}
