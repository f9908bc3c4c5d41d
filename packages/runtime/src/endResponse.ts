import type { IncomingMessage, ServerResponse } from 'node:http'
import { hasSupportedTransferCoding } from './hasSupportedTransferCoding'

/**
 * Time that the other side gets to read an answer while it still sends its body. Closing a connection with unread
 * bytes resets it, and the answer could be lost.
 */
const LINGER_TIMEOUT_MS = 2_000

/** @internal */
export interface EndResponseOptions {
  readonly req: IncomingMessage
  /** A response whose head declares the length of its body, or that was sent in chunks. */
  readonly res: ServerResponse
  readonly body?: Buffer | string
}

/**
 * Ends a response. When the body of its request is still on the way, the answer is sent at once, and the connection
 * stays open for a while so that the rest of the body can arrive and be dropped.
 *
 * @param options - both halves of the exchange, and what is left of the answer's body
 * @internal
 */
export function endResponse ({ req, res, body = '' }: EndResponseOptions): void {
  if (req.complete || req.destroyed || !hasSupportedTransferCoding(req)) {
    res.end(body)
    return
  }
  if (body.length > 0) res.write(body)
  else res.flushHeaders()
  const end = (): void => {
    clearTimeout(timer)
    res.end()
  }
  const timer = setTimeout(end, LINGER_TIMEOUT_MS)
  // A listener, because `resume` alone has no effect while an upload is being read by an iterator.
  req.on('data', () => {}).on('error', () => {}).once('end', end).once('close', end).resume()
}
