import type { AttemptId, RequestId } from '@lavenderturn/types'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Exchange } from '../exchange/Exchange'
import type { BodyPrefix } from '../readPrefix'

/** The answer to an attempt, buffered until the reducer decides to relay it. @internal */
export interface BufferedAnswer {
  readonly attemptId: AttemptId
  readonly response: IncomingMessage
  readonly prefix: BodyPrefix
}

/** The I/O state of one request from a caller, kept outside the reducer. @internal */
export interface CallerExchange {
  readonly requestId: RequestId
  readonly req: IncomingMessage
  readonly res: ServerResponse
  /** Encodings of the caller's key that must not be forwarded. */
  readonly secrets: readonly string[]
  readonly body: BodyPrefix
  /** Whether part of the body beyond the prefix has been sent, so that the body cannot be replayed. */
  bodyConsumed: boolean
  readonly attempts: Map<AttemptId, Exchange>
  answer?: BufferedAnswer
  /** Whether the answer is being relayed to the caller. */
  relaying?: boolean
}
