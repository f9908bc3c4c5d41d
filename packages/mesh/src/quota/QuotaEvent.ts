import type { EventBase } from '../MeshEvent'
import type { AskTokenMessage } from '../messages/PeerMessage'

/** A gateway requested a token of a team's rate. @public */
export interface TokenAsked extends EventBase {
  readonly slice: 'quota'
  readonly type: 'tokenAsked'
  readonly message: AskTokenMessage
}

/** @public */
export type QuotaEvent = TokenAsked
