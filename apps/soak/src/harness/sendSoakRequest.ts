import { type Agent, request as send } from 'node:http'
import type { SoakProtocol } from '../SoakProtocol'
import type { CallerResult, SoakRequest } from '../SoakState'

/** Time after the deadline at which a caller aborts; well above the tolerated lateness of a response. */
const ABORT_MARGIN_MS = 4_000

/** @public */
export interface SendOptions {
  readonly request: SoakRequest
  readonly port: number
  /** Agent with the keep-alive connections of the callers. */
  readonly agent: Agent
  readonly protocol: SoakProtocol
}

/**
 * Sends a request of a caller.
 *
 * @param options - request, port and connection pool
 * @returns the result from the view of the caller
 * @public
 */
export async function sendSoakRequest ({ request, port, agent, protocol }: SendOptions): Promise<CallerResult> {
  const { method, path, headers } = protocol.composeRequest(request)
  return await new Promise((resolve) => {
    const cut = (): void => { resolve({ kind: 'cut' }) }
    const req = send({ host: '127.0.0.1', port, method, path, headers, agent }, (res) => {
      const chunks: Buffer[] = []
      res.on('data', (chunk: Buffer) => { chunks.push(chunk) })
      res.on('error', cut)
      res.on('close', cut)
      res.on('end', () => {
        if (!res.complete) return cut()
        const body = Buffer.concat(chunks).toString()
        resolve(protocol.parseResponse({ status: res.statusCode ?? 0, headers: res.headers, body }))
      })
    })
    req.setTimeout(request.timeout + ABORT_MARGIN_MS, () => { req.destroy() })
    req.on('error', cut)
    req.end(method === 'POST' ? 'one item' : undefined)
  })
}
