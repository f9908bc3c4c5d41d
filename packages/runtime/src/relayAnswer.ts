import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http'
import { pipeline } from 'node:stream/promises'
import { endResponse } from './endResponse'
import { hasNoBody } from './gateway/isRelayable'
import { selectHeaders } from './headers'
import type { BodyPrefix } from './readPrefix'

/** Answers up to this size are buffered completely before their first byte is relayed. */
export const MAX_BUFFERED_ANSWER_BYTES = 65_536

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
 * Relays an answer. When a long answer is truncated, the connection is destroyed, so that the receiver does not accept
 * the answer as complete. Trailers are not relayed.
 *
 * @param options - the exchange, the answer, and the part of its body that has been read
 * @returns whether the complete answer was relayed
 * @internal
 */
export async function relayAnswer ({ req, res, response, prefix, extra = {} }: RelayOptions): Promise<boolean> {
  res.writeHead(response.statusCode!, {
    ...selectHeaders(response.headers), ...createFramingHeaders(req, response, prefix), ...extra
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
    abortAnswer(res)
    return false
  })
}

/**
 * Aborts an answer so that the receiver does not accept it as complete. The connection is reset, because HTTP/1.0
 * clients treat a regular end of the connection as the end of the answer.
 *
 * @param res - an answer that has started
 * @internal
 */
export function abortAnswer (res: ServerResponse): void {
  res.socket?.resetAndDestroy()
  res.destroy()
}

function createFramingHeaders (
  req: IncomingMessage, response: IncomingMessage, prefix: BodyPrefix
): OutgoingHttpHeaders {
  const declared = response.headers['content-length']
  if (response.statusCode === 204) return {}
  // The content length of an answer to HEAD is that of the body which GET would return.
  if (hasNoBody(req.method, response.statusCode)) return declared === undefined ? {} : { 'content-length': declared }
  if (prefix.complete) return { 'content-length': String(prefix.bytes.length) }
  return declared === undefined ? {} : { 'content-length': declared }
}
