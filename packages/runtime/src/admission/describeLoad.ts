import type { LoadReport, NodeState } from '@lavenderturn/decisions'
import type { EndpointId } from '@lavenderturn/types'

/**
 * Describes a backend server for the gateways.
 *
 * @param state - the node's state
 * @param endpoint - the backend server
 * @returns its load; without slots when it is not announced here
 * @internal
 */
export function describeLoad ({ admission }: Readonly<NodeState>, endpoint: EndpointId): LoadReport {
  const server = admission.servers.get(endpoint)
  const slots = server?.slots ?? 0
  return {
    slots, limit: slots, inFlight: server?.inFlight ?? 0, queued: server?.queue.length ?? 0, verdict: 'healthy'
  }
}
