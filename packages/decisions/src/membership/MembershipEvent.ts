import type { EventBase } from '../NodeEvent'
import type { MemberRecord } from './MemberRecord'
import type { MemberStatus } from './MembershipState'

/** A member's record or status was learned. @public */
export interface MemberLearned extends EventBase {
  readonly slice: 'membership'
  readonly type: 'memberLearned'
  readonly record: MemberRecord
  readonly status: MemberStatus
}

/** @public */
export type MembershipEvent = MemberLearned
