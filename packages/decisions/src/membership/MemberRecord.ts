import type { Address, DataCentreId, EndpointId, NodeId, RegionId, ServiceId } from '@lavenderturn/types'

/** A node's description of one of its local backend servers. @public */
export interface EndpointRecord {
  readonly id: EndpointId
  readonly service: ServiceId
  readonly slots: number
  /** A draining endpoint gets no new work. */
  readonly state: 'serving' | 'draining'
}

/** A node's description of itself, spread by gossip. @public */
export interface MemberRecord {
  readonly nodeId: NodeId
  /** Incremented by the node itself to refute a suspicion. */
  readonly incarnation: number
  readonly dataCentre: DataCentreId
  readonly region: RegionId
  readonly forwardAddress: Address
  readonly controlAddress: Address
  readonly protocolVersion: number
  /** Incremented with every change of `endpoints`. */
  readonly endpointsVersion: number
  readonly endpoints: readonly EndpointRecord[]
}
