import type { IncomingMessage } from 'node:http'

/** Statuses whose answers have no body. */
const BODILESS_STATUSES = new Set([204, 304])

const LOWEST_STATUS = 200
const HIGHEST_STATUS = 599

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
 * Tells whether an answer can be passed on: its status is a final one, and the end of its body can be told from a
 * broken connection.
 *
 * @param method - method of the request
 * @param response - head of the answer
 * @returns false when only the close of the connection ends the body, or when the status is none
 * @internal
 */
export function isRelayable (method: string | undefined, { statusCode = 0, headers }: IncomingMessage): boolean {
  if (statusCode < LOWEST_STATUS || statusCode > HIGHEST_STATUS) return false
  if (isBodiless(method, statusCode)) return true
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}
