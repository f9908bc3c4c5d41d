import type { ReservationId } from '@lavenderturn/mesh'
import { millis, toId } from '@lavenderturn/types'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { forwardHeaders } from '../forwardHeaders'
import type { MeshRuntime } from '../MeshRuntime'
import { dropConnectionHeaders } from '../protocol/connectionHeaders'
import { listHeaders } from '../protocol/RequestHead'
import { readBody } from '../readBody'
import { writeAnswer } from '../writeAnswer'
import type { AdmissionHandler } from './AdmissionHandler'
import { type AttemptReply, encodeResult, ReplyTarget } from './AttemptReply'
import type { ForwardedRequest } from './ForwardedRequest'

/** Longer than gateways keep idle connections, so that this side is never the first to close one. */
const KEEP_ALIVE_MS = 60_000

/** Room for the largest headers that callers may send and for those that the gateway adds. */
const MAX_HEADER_BYTES = 81_920

/** Gateways have checked the size of bodies against the limits in force. */
const MAX_BODY_BYTES = 134_217_728

/** Path under which a gateway asks for the answer of an attempt whose connection broke. */
export const ANSWER_PATH = '/lavenderturn/answer'

/** @internal */
export interface ForwardServerOptions {
  readonly runtime: MeshRuntime
  readonly handler: AdmissionHandler
}

/**
 * Creates the HTTP server for requests that other nodes forward.
 *
 * @param options - the runtime and the handler that runs the requests
 * @returns the server, not yet listening
 * @internal
 */
export function createForwardServer (options: ForwardServerOptions): Server {
  const server = createServer({
    keepAliveTimeout: KEEP_ALIVE_MS, requestTimeout: 0, maxHeaderSize: MAX_HEADER_BYTES
  })
  server.on('request', (req, res) => {
    const target = new ConnectionTarget(res)
    if (req.headers[forwardHeaders.reservation] === undefined) {
      res.writeHead(404, { 'content-length': '0' }).end()
    } else if (req.url === ANSWER_PATH) {
      attachGateway(options, req, target)
    } else {
      void receiveRequest(options, req, target)
    }
  })
  return server
}

/** A connection of another node. */
class ConnectionTarget extends ReplyTarget {
  constructor (readonly res: ServerResponse) {
    super()
  }

  override send ({ result, answer }: AttemptReply): void {
    if (this.res.destroyed || this.res.headersSent) return
    const status = answer?.status ?? 200
    const headers = [...answer?.headers ?? [], [forwardHeaders.result, encodeResult(result)] as const]
    writeAnswer(this.res, { status, headers, body: answer?.body ?? Buffer.alloc(0) })
  }
}

function attachGateway ({ handler }: ForwardServerOptions, req: IncomingMessage, target: ConnectionTarget): void {
  const reservation = readReservation(req)
  req.resume()
  watchConnection(handler, reservation, target)
  // The answer was dropped meanwhile; the request may have run.
  if (!handler.attach(reservation, target)) target.send({ result: { kind: 'broken' } })
}

async function receiveRequest (
  { runtime, handler }: ForwardServerOptions,
  req: IncomingMessage,
  target: ConnectionTarget
): Promise<void> {
  const reservation = readReservation(req)
  runtime.dispatch({ slice: 'admission', type: 'workArriving', reservation })
  let body: Buffer
  try {
    body = await readBody(req, { maxBytes: MAX_BODY_BYTES })
  } catch {
    // The gateway is gone or asks what became of its request; its grant expires unused.
    target.res.destroy()
    return
  }
  watchConnection(handler, reservation, target)
  handler.accept(readRequest(req, reservation, body), target)
}

function watchConnection (handler: AdmissionHandler, reservation: ReservationId, target: ConnectionTarget): void {
  target.res.once('close', () => { if (!target.res.writableFinished) handler.detach(reservation, target) })
}

function readRequest (req: IncomingMessage, reservation: ReservationId, body: Buffer): ForwardedRequest {
  const read = (name: string): string => String(req.headers[name] ?? '')
  const team = read(forwardHeaders.team)
  return {
    reservation,
    route: toId(read(forwardHeaders.route)),
    team: team === '' ? undefined : toId(decodeURIComponent(team)),
    callerService: toId(read(forwardHeaders.callerService)),
    callerRequestId: decodeURIComponent(read(forwardHeaders.callerRequest)),
    fingerprint: toId(read(forwardHeaders.fingerprint)),
    timeout: millis(Number(read(forwardHeaders.timeout))),
    head: {
      method: req.method ?? 'GET',
      target: req.url ?? '/',
      headers: dropConnectionHeaders(listHeaders(req.rawHeaders))
    },
    body
  }
}

function readReservation (req: IncomingMessage): ReservationId {
  return toId(String(req.headers[forwardHeaders.reservation]))
}
