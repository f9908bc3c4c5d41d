import type { IncomingMessage } from 'node:http'

/**
 * @param message - a request
 * @returns whether its body is framed in a way that the parser reads; it gives up behind the head of any other
 * @internal
 */
export function hasSupportedTransferCoding ({ headers }: IncomingMessage): boolean {
  return (headers['transfer-encoding'] ?? 'chunked').toLowerCase() === 'chunked'
}
