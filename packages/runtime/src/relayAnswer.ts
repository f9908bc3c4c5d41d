import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http'
import { pipeline } from 'node:stream/promises'
import { endResponse } from './endResponse'
import { isBodiless } from './gateway/isRelayable'
import { selectHeaders } from './headers'
import type { BodyPrefix } from './readPrefix'

/** Answers up to this size are complete before their first byte is passed on. */
export const ANSWER_BUFFER_BYTES = 65_536

/** @internal */
export interface RelayOptions {
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly response: IncomingMessage
  readonly prefix: BodyPrefix
  /** Headers to add to those of the answer. */
  readonly extra?: OutgoingHttpHeaders
}

/**
 * Passes an answer on. When a long answer breaks off, the connection is destroyed, so that the answer cannot be taken
 * for a complete one. Trailers are not passed on.
 *
 * @param options - both sides, and the part of the body that was read already
 * @returns whether the whole answer was passed on
 * @internal
 */
export async function relayAnswer ({ req, res, response, prefix, extra = {} }: RelayOptions): Promise<boolean> {
  res.writeHead(response.statusCode!, {
    ...selectHeaders(response.headers), ...describeFraming(req, response, prefix), ...extra
  })
  if (prefix.complete) {
    endResponse({ req, res, body: prefix.bytes })
    return true
  }
  res.write(prefix.bytes)
  return await pipeline(response, res, { end: false }).then(() => {
    endResponse({ req, res })
    return true
  }, () => {
    breakOff(res)
    return false
  })
}

/**
 * Ends an answer so that it cannot be taken for a whole one. A reset also tells callers that wait for the end of the
 * connection, as HTTP/1.0 does.
 *
 * @param res - an answer that has begun
 * @internal
 */
export function breakOff (res: ServerResponse): void {
  res.socket?.resetAndDestroy()
  res.destroy()
}

function describeFraming (req: IncomingMessage, response: IncomingMessage, prefix: BodyPrefix): OutgoingHttpHeaders {
  const declared = response.headers['content-length']
  if (response.statusCode === 204) return {}
  // The length of an answer to HEAD describes the body that GET would have.
  if (isBodiless(req.method, response.statusCode)) return declared === undefined ? {} : { 'content-length': declared }
  if (prefix.complete) return { 'content-length': String(prefix.bytes.length) }
  return declared === undefined ? {} : { 'content-length': declared }
}
