import type { NodeId } from '@lavenderturn/types'
import type { FreshnessReport } from '../control/ControlEvent'
import type { GossipedCrashMark } from '../quarantine/QuarantineEvent'
import type { MemberRecord } from './MemberRecord'
import type { MemberStatus } from './MembershipState'

/** Version of the messages between nodes; versions that differ by one are compatible. */
export const PROTOCOL_VERSION = 1

/** A member's record and status as known to the sender. @public */
export interface MemberChange {
  readonly record: MemberRecord
  readonly status: MemberStatus
}

/** Content of a gossip message; probes and their answers carry it as well. @public */
export interface Gossip {
  readonly from: NodeId
  readonly protocolVersion: number
  readonly changes: readonly MemberChange[]
  /** Digest of the sender's member list, to detect differing lists. */
  readonly membersDigest: number
  readonly freshness: FreshnessReport
  readonly crashMarks: readonly GossipedCrashMark[]
}
