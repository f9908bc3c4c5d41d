import type { IncomingMessage, ServerResponse } from 'node:http'

/** Handles requests for one path of the admin port. @internal */
export type Route = (req: IncomingMessage, res: ServerResponse) => void | Promise<void>

/**
 * @param bytes - a request body
 * @returns the parsed value, or undefined when the body is not JSON
 * @internal
 */
export function parseJson (bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString('utf8'))
  } catch {
    return undefined
  }
}

/**
 * @param res - the response, whose head has not been sent
 * @param value - the value to send as JSON
 * @internal
 */
export function sendJson (res: ServerResponse, value: unknown): void {
  res.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(value))
}
