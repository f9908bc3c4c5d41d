import type { Address, CallId, Millis, NodeId } from '@lavenderturn/types'
import type { Gossip } from './Gossip'
import type { MemberRecord } from './MemberRecord'

/** Exchanges gossip with another node. @public */
export interface SendGossip {
  readonly slice: 'membership'
  readonly type: 'sendGossip'
  readonly address: Address
  readonly gossip: Gossip
  /** Returned with the answer, so that ages in it are measured from when it was requested. */
  readonly askedAt: Millis
  /** Whether to request the whole member list. */
  readonly full: boolean
}

/** Probes a member directly. @public */
export interface SendProbe {
  readonly slice: 'membership'
  readonly type: 'sendProbe'
  readonly probeId: number
  readonly address: Address
  readonly gossip: Gossip
  readonly askedAt: Millis
}

/** Asks another member to probe the target. @public */
export interface SendIndirectProbe {
  readonly slice: 'membership'
  readonly type: 'sendIndirectProbe'
  readonly probeId: number
  readonly via: Address
  readonly target: NodeId
  readonly targetAddress: Address
}

/** Answers the gossip of another node. @public */
export interface AnswerGossip {
  readonly slice: 'membership'
  readonly type: 'answerGossip'
  readonly callId: CallId
  readonly gossip: Gossip
}

/** Refuses gossip with an incompatible protocol version. @public */
export interface RefuseGossip {
  readonly slice: 'membership'
  readonly type: 'refuseGossip'
  readonly callId: CallId
}

/** Writes this node's row to the table service. Best effort. @public */
export interface WriteRow {
  readonly slice: 'membership'
  readonly type: 'writeRow'
  readonly record: MemberRecord
}

/** Removes a node's row from the table service. Best effort. @public */
export interface RemoveRow {
  readonly slice: 'membership'
  readonly type: 'removeRow'
  readonly node: NodeId
}

/** Reads the rows of all nodes from the table service. Best effort. @public */
export interface ReadRows {
  readonly slice: 'membership'
  readonly type: 'readRows'
}

/** @public */
export type MembershipEffect =
  | AnswerGossip
  | ReadRows
  | RefuseGossip
  | RemoveRow
  | SendGossip
  | SendIndirectProbe
  | SendProbe
  | WriteRow
