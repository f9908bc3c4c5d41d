import type { Server, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { decideRejection, type RejectedInput } from './decideRejection'
import type { ServerConnections } from './ServerConnections'

/** @public */
export interface RejectUnreadableOptions {
  readonly connections: ServerConnections
  /**
   * @param code - error code of the parser
   * @returns a complete response that closes the connection
   */
  readonly composeRefusal: (code: string) => string
  /** Refuses a request whose body cannot be read. */
  readonly refuseBody: (res: ServerResponse) => void
  /** Called for each rejection. */
  readonly onRejected?: (input: RejectedInput) => void
}

/**
 * Refuses what clients send that is no request.
 *
 * @param server - an HTTP server whose responses are added to `connections`
 * @param options - its connections, and the refusals
 * @public
 */
export function rejectUnreadable (server: Server, options: RejectUnreadableOptions): void {
  server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
    // The connection has failed.
    if (!socket.writable) socket.destroy()
    else reject(options, err.code ?? err.name, socket)
  })
}

function reject (
  { connections, composeRefusal, refuseBody, onRejected }: RejectUnreadableOptions,
  code: string,
  socket: Duplex
): void {
  const responses = connections.get(socket)
  const { newest, unanswered } = responses
  const body = newest === undefined || newest.req.complete ? undefined : { isAnswered: newest.headersSent }
  const input = { code, unanswered, body }
  onRejected?.(input)
  switch (decideRejection(input)) {
    case 'close':
      socket.destroy()
      break
    case 'finish':
      responses.finish()
      break
    case 'refuse':
      responses.finish(composeRefusal(code))
      break
    case 'refuseBody':
      responses.finish()
      refuseBody(newest!)
  }
}
