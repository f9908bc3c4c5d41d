import type { RequestId } from '@lavenderturn/types'
import type { EventBase } from '../NodeEvent'

/** A request has waited for a token as long as it may. @public */
export interface TokenWaitExpired extends EventBase {
  readonly slice: 'limits'
  readonly type: 'tokenWaitExpired'
  readonly requestId: RequestId
}

/** @public */
export type LimitsEvent = TokenWaitExpired
