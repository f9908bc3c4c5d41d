import type { IncomingMessage } from 'node:http'

/** Statuses of answers without a body. */
const BODILESS_STATUSES = new Set([204, 304])

const MIN_FINAL_STATUS = 200
const MAX_FINAL_STATUS = 599

/**
 * @param method - method of the request
 * @param status - status of the answer
 * @returns whether the answer has no body, regardless of its headers
 * @internal
 */
export function hasNoBody (method: string | undefined, status: number | undefined): boolean {
  return method === 'HEAD' || BODILESS_STATUSES.has(status ?? 0)
}

/**
 * The parser of Node takes any status of three digits. Those below 200 do not end an exchange, and those above 599 are
 * not valid (RFC 9110, section 15).
 *
 * @param status - status of an answer
 * @returns whether the answer is final
 * @public
 */
export function isFinalStatus (status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS
}

/**
 * Checks whether an answer can be relayed: its status is final, and the end of its body can be distinguished from a
 * broken connection.
 *
 * @param method - method of the request
 * @param response - head of the answer
 * @returns false when the body is delimited only by the end of the connection, or when the status is not final
 * @internal
 */
export function isRelayable (method: string | undefined, { statusCode = 0, headers }: IncomingMessage): boolean {
  if (!isFinalStatus(statusCode)) return false
  if (hasNoBody(method, statusCode)) return true
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}
