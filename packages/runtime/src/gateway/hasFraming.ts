import type { IncomingMessage } from 'node:http'

/** Statuses whose answers have no body. */
const BODILESS_STATUSES = new Set([204, 304])

/**
 * @param method - method of the request
 * @param status - status of the answer
 * @returns whether the answer has no body, whatever its headers say
 * @internal
 */
export function isBodiless (method: string | undefined, status: number | undefined): boolean {
  return method === 'HEAD' || BODILESS_STATUSES.has(status ?? 0)
}

/**
 * Tells whether the end of an answer's body can be told from a broken connection.
 *
 * @param method - method of the request
 * @param response - head of the answer
 * @returns false when only the close of the connection ends the body
 * @internal
 */
export function hasFraming (method: string | undefined, { statusCode, headers }: IncomingMessage): boolean {
  if (isBodiless(method, statusCode)) return true
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}
