import type { AttemptId, RequestId } from '@lavenderturn/types'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Dispatcher } from 'undici'
import type { BodyPrefix } from '../readPrefix'

/** The answer of an attempt, held until the reducer says to relay it. @internal */
export interface HeldAnswer {
  readonly attemptId: AttemptId
  readonly response: Dispatcher.ResponseData
  readonly prefix: BodyPrefix
}

/** What the shell keeps of one request of a caller. @internal */
export interface CallerExchange {
  readonly requestId: RequestId
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly key?: string
  readonly body: BodyPrefix
  /** Whether part of the body beyond the prefix was sent and cannot be sent again. */
  bodyConsumed: boolean
  readonly aborts: Map<AttemptId, AbortController>
  answer?: HeldAnswer
}
