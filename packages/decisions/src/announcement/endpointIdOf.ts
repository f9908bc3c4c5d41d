import { type Address, type EndpointId, type NodeId, type ServiceId, toId } from '@lavenderturn/types'

/**
 * Builds the id of an endpoint. It includes the node, because backend servers of different instances can have the same
 * loopback address.
 *
 * @param nodeId - the node that runs next to the backend server
 * @param service - the service of the backend server
 * @param address - the address of the backend server
 * @returns the id
 * @public
 */
export function endpointIdOf (nodeId: NodeId, service: ServiceId, address: Address): EndpointId {
  return toId(`${service}@${nodeId}/${address}`)
}
