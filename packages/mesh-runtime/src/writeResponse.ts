import { endResponse } from '@lavenderturn/runtime'
import type { ServerResponse } from 'node:http'
import { ResponseBody } from './body/ResponseBody'
import type { HeaderList } from './protocol/RequestHead'

/** Status codes of responses that never have a body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304])

/** A response to write. @internal */
export interface WritableResponse {
  readonly status: number
  readonly headers: HeaderList
  readonly body: Buffer | ResponseBody
}

/**
 * Writes a response with its Content-Length, or in chunks if the length is not known, so that a truncated response can
 * be recognised as such. If the body of the request is still arriving, the rest is discarded, because closing the
 * connection could lose the response.
 *
 * @param res - the response to write to
 * @param response - status, headers and body
 * @internal
 */
export function writeResponse (res: ServerResponse, { status, headers, body }: WritableResponse): void {
  const raw = headers.flatMap(([name, value]) => [name, value])
  const { length } = body
  if (!BODILESS_STATUSES.has(status) && length !== undefined) raw.push('Content-Length', String(length))
  if (res.shouldKeepAlive === false) raw.push('Connection', 'close')
  res.writeHead(status, raw)
  if (body instanceof ResponseBody) body.send(res)
  else endResponse({ req: res.req, res, body })
}
