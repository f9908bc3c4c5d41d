import type { Address, DataCentreId, Millis, NodeId, Revision, ServiceId } from '@lavenderturn/types'
import type { LoadSummary } from '../messages/PeerMessage'

/** What the registry holds of a node. @public */
export interface MemberRecord {
  readonly node: NodeId
  readonly boot: string
  readonly dataCentre: DataCentreId
  readonly service: ServiceId
  readonly peerAddress: Address
  readonly forwardAddress: Address
}

/** A node, and what this node knows of it. @public */
export interface Member extends MemberRecord {
  /** Hash of the name, which places the node among the keepers of each team's rate. */
  readonly hash: number
  /** When its latest datagram arrived. */
  lastHeardAt: Millis
  leaving: boolean
  /** Whether it said in its latest beat that it hears this node. */
  hearsThisNode: boolean
  /** Revision of the configuration that it last said to hold. */
  revision: Revision
  load: LoadSummary
  /** When `load` was received. */
  loadReceivedAt: Millis
  /** Until when the path to it is avoided, after it left questions unanswered. */
  avoidUntil: Millis
  /** Questions in a row that it left unanswered. */
  missed: number
}
