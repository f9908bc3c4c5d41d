import type { Address, DataCentreId, Millis, NodeId, Revision, ServiceId } from '@lavenderturn/types'
import type { LoadSummary } from '../messages/PeerMessage'

/** The record of a node in the registry. @public */
export interface MemberRecord {
  readonly node: NodeId
  readonly boot: string
  readonly dataCentre: DataCentreId
  readonly service: ServiceId
  readonly peerAddress: Address
  readonly forwardAddress: Address
}

/** A node and what this node knows about it. @public */
export interface Member extends MemberRecord {
  /** Hash of the node id, used to rank the owners of each team's rate. */
  readonly hash: number
  readonly registeredAt: Millis
  /** When its latest datagram was received; equal to `registeredAt` before the first. */
  lastHeardAt: Millis
  /** Introductions that were sent to it. */
  hellosSent: number
  leaving: boolean
  /** When its planned stop became known; without a meaning while `leaving` is not set. */
  leavingSince: Millis
  /** Whether it is one of the nodes that may own the rates of teams. */
  mayOwnRates: boolean
  /** Whether it is expected to send heartbeats to this node, and since when. */
  sendsHeartbeats: boolean
  expectedSince: Millis
  /** Until when it may not own rates, because expected heartbeats did not come. */
  silentUntil: Millis
  /** Whether its latest heartbeat stated that it receives heartbeats from this node. */
  hearsThisNode: boolean
  /** Configuration revision from its latest heartbeat. */
  revision: Revision
  load: LoadSummary
  /** When `load` was received; 0 before the first time. */
  loadReceivedAt: Millis
  /** Until when the node is avoided after it left requests unanswered. */
  avoidUntil: Millis
  /** Consecutive unanswered requests. */
  missed: number
}
