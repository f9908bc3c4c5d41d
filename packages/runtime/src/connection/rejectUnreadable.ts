import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import { ConnectionResponses } from './ConnectionResponses'
import { decideRejection } from './decideRejection'
import type { InputRefuser } from './InputRefuser'

/** Code with which Node reports that the head of a request took too long. */
const HEAD_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT'

/** Code for a request for a tunnel, which is not one that can be forwarded. */
const CONNECT_REQUEST = 'CONNECT'

/**
 * Refuses what clients send that is no request.
 *
 * @param server - an HTTP server whose responses are added to those of their connections
 * @param refuser - writes the refusals
 * @public
 */
export function rejectUnreadable (server: Server, refuser: InputRefuser): void {
  server.on('clientError', (err: NodeJS.ErrnoException, stream) => {
    const socket = stream as Socket
    const code = err.code ?? err.name
    const { added } = ConnectionResponses.of(socket)
    // The connection has failed.
    if (!socket.writable) socket.destroy()
    else if (code === HEAD_TIMEOUT) setImmediate(() => { rejectLateHead(refuser, socket, added) })
    else reject(refuser, code, socket)
  })
  // Node destroys the connection if there is no listener, together with the responses to earlier requests.
  server.on('connect', (_, stream) => {
    const socket = stream as Socket
    socket.on('error', () => {}).resume()
    reject(refuser, CONNECT_REQUEST, socket)
  })
}

/**
 * Refuses a head that took too long, unless it is complete by now. The check of the heads runs before the sockets are
 * read, so that after a time in which the process stood still it also finds those whose rest has been waiting there.
 */
function rejectLateHead (refuser: InputRefuser, socket: Socket, added: number): void {
  if (ConnectionResponses.of(socket).added === added && socket.writable) reject(refuser, HEAD_TIMEOUT, socket)
}

function reject (refuser: InputRefuser, code: string, socket: Socket): void {
  const responses = ConnectionResponses.of(socket)
  const { newest, unanswered, isFinishing } = responses
  const body = newest === undefined || newest.req.complete ? undefined : { isAnswered: newest.headersSent }
  const input = { code, unanswered, body, isFinishing }
  const rejection = decideRejection(input)
  // The parser reports its error again with each further piece.
  if (rejection === 'discard') return
  refuser.report(input)
  switch (rejection) {
    case 'close':
      socket.destroy()
      break
    case 'finish':
      responses.finish()
      break
    case 'refuse':
      responses.finish(refuser.composeRefusal(code))
      break
    case 'refuseBody':
      responses.finish()
      refuser.refuseBody(newest!)
  }
}
