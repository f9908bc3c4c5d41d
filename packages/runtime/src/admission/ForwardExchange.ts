import type { IncomingMessage, ServerResponse } from 'node:http'

/** What the shell keeps of one attempt of a gateway. @internal */
export interface ForwardExchange {
  readonly req: IncomingMessage
  readonly res: ServerResponse
  abort?: AbortController
}
