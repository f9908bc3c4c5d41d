import { resultCodes } from '@lavenderturn/types'
import type { Server, ServerResponse } from 'node:http'
import { InputRefuser } from './connection/InputRefuser'
import { rejectUnreadable } from './connection/rejectUnreadable'
import { formatProblem, sendProblem } from './sendProblem'

/** Status for a request whose headers exceed the limit of the parser. */
const HEADERS_TOO_LARGE_STATUS = 431

/** Tells which requests may be running. @internal */
export interface ExchangeRegistry {
  /**
   * @param res - a response whose request is still arriving
   * @returns whether the request may be running already
   */
  readonly hasExchange: (res: ServerResponse) => boolean
}

/**
 * Answers requests that the HTTP parser rejects, and `CONNECT` requests.
 *
 * @param server - an HTTP server whose responses are added to those of their connections
 * @param registry - the requests that may be running
 * @internal
 */
export function handleMalformedRequests (server: Server, registry: ExchangeRegistry): void {
  rejectUnreadable(server, new ProblemRefuser(registry))
}

/** Refuses with problem details. */
class ProblemRefuser extends InputRefuser {
  constructor (private readonly registry: ExchangeRegistry) {
    super()
  }

  override composeRefusal (code: string): string {
    const isTooLarge = code === 'HPE_HEADER_OVERFLOW'
    const body = formatProblem({ result: 'malformedRequest' })
    return [
      `HTTP/1.1 ${isTooLarge ? HEADERS_TOO_LARGE_STATUS : resultCodes.malformedRequest.status} Bad Request`,
      'content-type: application/problem+json',
      `content-length: ${Buffer.byteLength(body)}`,
      'connection: close',
      '',
      body
    ].join('\r\n')
  }

  override refuseBody (res: ServerResponse): void {
    // The result code of a malformed request says that it has not run, and a closed connection says nothing.
    if (this.registry.hasExchange(res)) res.req.socket.destroy()
    else sendProblem({ req: res.req, res, result: 'malformedRequest' })
  }

  override report (): void {}
}
