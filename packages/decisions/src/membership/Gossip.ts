import type { NodeId } from '@lavenderturn/types'
import type { FreshnessReport } from '../control/ControlEvent'
import type { DescribedMark } from '../quarantine/QuarantineEvent'
import type { MemberRecord } from './MemberRecord'
import type { MemberStatus } from './MembershipState'

/** Version of the messages between nodes; neighbouring versions work together. */
export const PROTOCOL_VERSION = 1

/** A member's record and status as one node holds them. @public */
export interface MemberChange {
  readonly record: MemberRecord
  readonly status: MemberStatus
}

/** What rides on every message of the membership. @public */
export interface Gossip {
  readonly from: NodeId
  readonly protocolVersion: number
  readonly changes: readonly MemberChange[]
  readonly membersDigest: number
  readonly freshness: FreshnessReport
  readonly crashMarks: readonly DescribedMark[]
}
