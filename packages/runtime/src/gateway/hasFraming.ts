import type { Dispatcher } from 'undici'

/** Statuses whose answers have no body. */
const BODILESS_STATUSES = new Set([204, 304])

/**
 * Tells whether the end of an answer's body can be told from a broken connection.
 *
 * @param method - method of the request
 * @param response - head of the answer
 * @returns false when only the close of the connection ends the body
 * @internal
 */
export function hasFraming (method: string | undefined, { statusCode, headers }: Dispatcher.ResponseData): boolean {
  if (method === 'HEAD' || BODILESS_STATUSES.has(statusCode)) return true
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}
