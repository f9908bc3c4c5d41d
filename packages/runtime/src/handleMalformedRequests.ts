import { resultCodes } from '@lavenderturn/types'
import type { Server, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { formatProblem } from './sendProblem'

/** Status for a request whose headers exceed the limit of the parser. */
const HEADERS_TOO_LARGE_STATUS = 431

/**
 * Answers requests that the HTTP parser rejects, and `CONNECT` requests.
 *
 * @param server - an HTTP server
 * @internal
 */
export function handleMalformedRequests (server: Server): void {
  server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
    const answer = findCurrentResponse(socket)
    // The request was refused after its head. The refusal has been written, but not yet sent.
    if (answer?.writableEnded === true && socket.writable) {
      socket.end()
      return
    }
    // The caller has disconnected, or a second answer would corrupt the one that has started.
    if (err.code === 'ECONNRESET' || !socket.writable || answer?.headersSent === true) {
      socket.destroy()
      return
    }
    writeProblem(
      socket, err.code === 'HPE_HEADER_OVERFLOW' ? HEADERS_TOO_LARGE_STATUS : resultCodes.malformedRequest.status
    )
  })
  server.on('connect', (_, socket) => { writeProblem(socket, resultCodes.malformedRequest.status) })
}

function findCurrentResponse (socket: Duplex): ServerResponse | null | undefined {
  return (socket as { _httpMessage?: ServerResponse | null })._httpMessage
}

function writeProblem (socket: Duplex, status: number): void {
  const body = formatProblem({ result: 'malformedRequest' })
  socket.end([
    `HTTP/1.1 ${status} Bad Request`,
    'content-type: application/problem+json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
    '',
    body
  ].join('\r\n'))
}
