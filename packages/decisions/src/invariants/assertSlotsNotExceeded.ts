import type { EndpointId } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import { InvariantError } from './InvariantError'

/**
 * I6: a backend server never runs more requests than its slots and its current concurrency limit allow.
 *
 * @param state - the state after a dispatch
 * @param endpointId - the endpoint that the work was dispatched to
 * @throws InvariantError if the requests exceed the slots or the limit
 * @internal
 */
export function assertSlotsNotExceeded (state: NodeState, endpointId: EndpointId): void {
  const server = state.admission.servers.get(endpointId)
  if (server === undefined) throw new InvariantError('I6', `work for ${endpointId}, which is not announced here`)
  const { limit } = server.limit
  if (server.inFlight > limit) {
    throw new InvariantError(
      'I6', `${server.inFlight} requests exceed the concurrency limit of ${limit} of ${endpointId}`
    )
  }
  if (server.inFlight > server.slots) {
    throw new InvariantError('I6', `${server.inFlight} requests exceed the ${server.slots} slots of ${endpointId}`)
  }
}
