import { type Address, type EndpointId, type NodeId, type ServiceId, toId } from '@lavenderturn/types'

/**
 * Names an endpoint. The node is part of the name, because backend servers of different instances can have the same
 * loopback address.
 *
 * @param nodeId - the node beside the backend server
 * @param service - its service
 * @param address - its address
 * @returns the id
 * @public
 */
export function endpointIdOf (nodeId: NodeId, service: ServiceId, address: Address): EndpointId {
  return toId(`${service}@${nodeId}/${address}`)
}
