import type { IncomingMessage } from 'node:http'

/**
 * Checks the transfer coding of a request. The HTTP parser stops after the head of a request with any coding other than
 * `chunked`.
 *
 * @param message - a request
 * @returns whether the parser can read the body
 * @internal
 */
export function hasSupportedTransferCoding ({ headers }: IncomingMessage): boolean {
  return (headers['transfer-encoding'] ?? 'chunked').toLowerCase() === 'chunked'
}
