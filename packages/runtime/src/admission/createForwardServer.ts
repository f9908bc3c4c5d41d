import { type AttemptId, millis, toId } from '@lavenderturn/types'
import { createServer, type IncomingMessage, type Server } from 'node:http'
import { headers } from '../headers'
import { parseReference } from '../loadHeader'
import type { Runtime } from '../Runtime'
import { sendProblem } from '../sendProblem'
import type { AdmissionHandler } from './AdmissionHandler'

/** A body up to this size comes whole from the gateway; a longer one takes the time that its caller takes. */
const WHOLE_BODY_BYTES = 65_536

/** @public */
export interface ForwardServerOptions {
  readonly runtime: Runtime
  readonly handler: AdmissionHandler
}

/**
 * Creates the HTTP server for forwarded requests of other nodes.
 *
 * @param options - the runtime that gets the events and the handler that dispatches
 * @returns the server, not yet listening
 * @public
 */
export function createForwardServer ({ runtime, handler }: ForwardServerOptions): Server {
  return createServer((req, res) => {
    const attempt = readHeader(req, headers.attempt)
    const endpoint = readHeader(req, headers.endpoint)
    const timeout = Number(readHeader(req, headers.deadline))
    if (attempt === undefined || endpoint === undefined || !Number.isFinite(timeout)) {
      sendProblem(res, { result: 'malformedRequest' })
      return
    }
    const attemptId = toId<AttemptId>(attempt)
    const team = readHeader(req, headers.team)
    const streamed = isStreamed(req)
    if (streamed) req.once('end', () => { runtime.dispatch({ slice: 'admission', type: 'bodySent', attemptId }) })
    handler.open(attemptId, { req, res })
    runtime.dispatch({
      slice: 'admission',
      type: 'workArrived',
      attemptId,
      endpoint: toId(endpoint),
      route: toId(readHeader(req, headers.route) ?? ''),
      team: team === undefined ? undefined : toId(team),
      fingerprint: toId(readHeader(req, headers.fingerprint) ?? ''),
      timeout: millis(timeout),
      streamed,
      reference: parseReference(readHeader(req, headers.reference))
    })
  })
}

function isStreamed ({ headers: received }: IncomingMessage): boolean {
  return received['transfer-encoding'] !== undefined || Number(received['content-length'] ?? 0) > WHOLE_BODY_BYTES
}

function readHeader (req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name]
  return typeof value === 'string' ? value : undefined
}
