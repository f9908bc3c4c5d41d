import type { RequestId } from '@lavenderturn/types'
import type { EventBase } from '../NodeEvent'

/** Too few owners answered a claim in time. @public */
export interface ClaimExpired extends EventBase {
  readonly slice: 'idempotency'
  readonly type: 'claimExpired'
  readonly requestId: RequestId
}

/** @public */
export type IdempotencyEvent = ClaimExpired
