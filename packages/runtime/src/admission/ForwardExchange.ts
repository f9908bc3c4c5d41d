import type { RequestId } from '@lavenderturn/types'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Exchange } from '../exchange/Exchange'

/** The I/O state of one attempt from a gateway, kept outside the reducer. @internal */
export interface ForwardExchange {
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly requestId: RequestId
  /** Whether the gateway waits for `100 Continue` before it sends the body. */
  readonly expectsContinue: boolean
  /** The exchange with the backend server, once the attempt is dispatched. */
  backend?: Exchange
}
