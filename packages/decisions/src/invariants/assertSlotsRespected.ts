import type { EndpointId } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import { InvariantError } from './InvariantError'

/**
 * I6: a backend server never runs more work than its slots and its current concurrency limit allow.
 *
 * @param state - the state after a dispatch
 * @param endpointId - the endpoint that got the work
 * @throws InvariantError when there is more work than slots or than the limit
 * @internal
 */
export function assertSlotsRespected (state: NodeState, endpointId: EndpointId): void {
  const server = state.admission.servers.get(endpointId)
  if (server === undefined) throw new InvariantError('I6', `work for ${endpointId}, which is not announced here`)
  const { limit } = server.limit
  if (server.inFlight > limit) {
    throw new InvariantError('I6', `${server.inFlight} requests at a limit of ${limit} of ${endpointId}`)
  }
  if (server.inFlight > server.slots) {
    throw new InvariantError('I6', `${server.inFlight} requests in ${server.slots} slots of ${endpointId}`)
  }
}
