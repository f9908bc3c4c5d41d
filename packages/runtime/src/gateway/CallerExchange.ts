import type { AttemptId, RequestId } from '@lavenderturn/types'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Exchange } from '../exchange/Exchange'
import type { BodyPrefix } from '../readPrefix'

/** The answer of an attempt, held until the reducer says to relay it. @internal */
export interface HeldAnswer {
  readonly attemptId: AttemptId
  readonly response: IncomingMessage
  readonly prefix: BodyPrefix
}

/** What the shell keeps of one request of a caller. @internal */
export interface CallerExchange {
  readonly requestId: RequestId
  readonly req: IncomingMessage
  readonly res: ServerResponse
  /** Forms of the caller's key that must not be passed on. */
  readonly secrets: readonly string[]
  readonly body: BodyPrefix
  /** Whether part of the body beyond the prefix was sent and cannot be sent again. */
  bodyConsumed: boolean
  readonly attempts: Map<AttemptId, Exchange>
  answer?: HeldAnswer
  /** Whether the answer is on its way to the caller. */
  relaying?: boolean
}
