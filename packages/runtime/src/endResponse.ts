import type { IncomingMessage, ServerResponse } from 'node:http'
import { hasSupportedTransferCoding } from './hasSupportedTransferCoding'

/**
 * Time for the client to read the answer while it is still sending its body. Closing a connection with unread data
 * resets it, and the answer can be lost.
 */
const LINGER_TIMEOUT_MS = 2_000

/** @public */
export interface EndResponseOptions {
  readonly req: IncomingMessage
  /** A response whose head declares the length of its body, or that was sent in chunks. */
  readonly res: ServerResponse
  readonly body?: Buffer | string
}

/**
 * Ends a response. While the body of the request is still arriving, the answer is sent immediately and the connection
 * is kept open for a limited time, in which the rest of the body is discarded (lingering close).
 *
 * @param options - request, response, and the rest of the answer's body
 * @public
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
  // `resume` alone has no effect while an iterator reads the upload, so a `data` listener is needed.
  req.on('data', () => {}).on('error', () => {}).once('end', end).once('close', end).resume()
}
