import type { ServerResponse } from 'node:http'
import type { WholeAnswer } from './protocol/RequestHead'

/** Statuses whose answers never have a body. */
const BODILESS: ReadonlySet<number> = new Set([204, 304])

/**
 * Writes a whole answer with its length, so that one that breaks off never looks complete.
 *
 * @param res - where to write
 * @param answer - status, headers and body
 * @internal
 */
export function writeAnswer (res: ServerResponse, { status, headers, body }: WholeAnswer): void {
  const raw = headers.flatMap(([name, value]) => [name, value])
  if (!BODILESS.has(status)) raw.push('Content-Length', String(body.length))
  if (res.shouldKeepAlive === false) raw.push('Connection', 'close')
  res.writeHead(status, raw)
  res.end(body)
}
