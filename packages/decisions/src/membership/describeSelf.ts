import type { NodeState } from '../NodeState'
import type { EndpointRecord, MemberRecord } from './MemberRecord'
import { PROTOCOL_VERSION } from './Gossip'

/**
 * Builds the record of this node and its local backend servers.
 *
 * @param state - the node's state
 * @param versions - incarnation and version of the endpoint list
 * @returns the record to spread by gossip
 * @internal
 */
export function describeSelf (
  { identity, admission }: NodeState,
  { incarnation, endpointsVersion }: Pick<MemberRecord, 'incarnation' | 'endpointsVersion'>
): MemberRecord {
  const endpoints: EndpointRecord[] = []
  for (const { endpoint, service, slots, state } of admission.servers.values()) {
    endpoints.push({ id: endpoint, service, slots, state })
  }
  return { ...identity, incarnation, endpointsVersion, protocolVersion: PROTOCOL_VERSION, endpoints }
}
