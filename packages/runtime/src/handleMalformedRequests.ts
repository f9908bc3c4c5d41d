import { resultCodes } from '@lavenderturn/types'
import type { Server, ServerResponse } from 'node:http'
import { rejectUnreadable } from './connection/rejectUnreadable'
import { formatProblem, sendProblem } from './sendProblem'

/** Status for a request whose headers exceed the limit of the parser. */
const HEADERS_TOO_LARGE_STATUS = 431

/** @internal */
export interface HandleMalformedRequestsOptions {
  /** Whether a request, whose body is still arriving, may already be running. */
  readonly mayRun: (res: ServerResponse) => boolean
}

/**
 * Answers requests that the HTTP parser rejects, and `CONNECT` requests.
 *
 * @param server - an HTTP server whose responses are added to those of their connections
 * @param options - how to tell which requests may be running
 * @internal
 */
export function handleMalformedRequests (server: Server, { mayRun }: HandleMalformedRequestsOptions): void {
  rejectUnreadable(server, {
    composeRefusal: (code) => {
      return composeProblem(code === 'HPE_HEADER_OVERFLOW' ? HEADERS_TOO_LARGE_STATUS : resultCodes.malformedRequest.status)
    },
    refuseBody: (res) => {
      // The result code of a malformed request says that it has not run, and a closed connection says nothing.
      if (mayRun(res)) res.req.socket.destroy()
      else sendProblem({ req: res.req, res, result: 'malformedRequest' })
    }
  })
}

function composeProblem (status: number): string {
  const body = formatProblem({ result: 'malformedRequest' })
  return [
    `HTTP/1.1 ${status} Bad Request`,
    'content-type: application/problem+json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
    '',
    body
  ].join('\r\n')
}
