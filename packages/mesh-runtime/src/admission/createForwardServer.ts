import type { ReservationId } from '@lavenderturn/mesh'
import { type BodyBuffer, ConnectionResponses } from '@lavenderturn/runtime'
import { millis, toId } from '@lavenderturn/types'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { BodyEvictedError } from '../body/bodyErrors'
import { readBody } from '../body/readBody'
import { CONFIGURATION_PATH, type ConfigurationHandler } from '../configuration/ConfigurationHandler'
import { forwardHeaders } from '../forwardHeaders'
import { limitConnections } from '../limitConnections'
import type { MemoryAccount } from '../memory/MemoryAccount'
import type { MeshRuntime } from '../MeshRuntime'
import { removeConnectionHeaders } from '../protocol/connectionHeaders'
import { decodePercent } from '../protocol/decodePercent'
import { parseRawHeaders } from '../protocol/RequestHead'
import { writeResponse } from '../writeResponse'
import type { AdmissionHandler } from './AdmissionHandler'
import { type AttemptReply, encodeAttemptResult, ReplyTarget } from './AttemptReply'
import type { ForwardedRequest } from './ForwardedRequest'

/** Longer than the idle timeout of gateways, so that this side never closes an idle connection first. */
const KEEP_ALIVE_TIMEOUT_MS = 60_000

/** Fits the largest headers that callers may send plus those that the gateway adds. */
const MAX_HEADER_BYTES = 81_920

/** Upper bound only; gateways check bodies against the configured limits. */
const MAX_BODY_BYTES = 134_217_728

/** Path of the request for the response of an attempt whose connection broke; it names no route. */
export const ATTEMPT_RESPONSE_PATH = '/lavenderturn/answer'

/** @internal */
export interface ForwardServerOptions {
  readonly runtime: MeshRuntime
  readonly handler: AdmissionHandler
  readonly configuration: ConfigurationHandler
  readonly account: MemoryAccount
  /** Most connections of other nodes. */
  readonly maxConnections: number
}

/**
 * Creates the HTTP server for requests that other nodes forward.
 *
 * @param options - the runtime, and the handler that runs the requests
 * @returns the server, not listening
 * @internal
 */
export function createForwardServer (options: ForwardServerOptions): Server {
  const server = createServer({
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, requestTimeout: 0, maxHeaderSize: MAX_HEADER_BYTES
  })
  const { runtime, maxConnections } = options
  limitConnections(server, {
    maxConnections,
    onDropped: (count) => { runtime.dispatch({ slice: 'gateway', type: 'connectionsDropped', port: 'nodes', count }) }
  })
  server.on('request', (req, res) => {
    // `limitConnections` closes no connection that still owes this response.
    ConnectionResponses.of(req.socket).add(res)
    const target = new ConnectionReplyTarget(res)
    if (req.url === CONFIGURATION_PATH && req.headers[forwardHeaders.reservation] === undefined) {
      sendConfiguration(options, res)
    } else if (req.headers[forwardHeaders.reservation] === undefined) {
      res.writeHead(404, { 'content-length': '0' }).end()
    } else if (req.url === ATTEMPT_RESPONSE_PATH && req.headers[forwardHeaders.route] === undefined) {
      attachGateway(options, req, target)
    } else {
      void receiveRequest(options, req, target)
    }
  })
  return server
}

function sendConfiguration ({ configuration }: ForwardServerOptions, res: ServerResponse): void {
  const snapshot = configuration.composeSnapshot()
  if (snapshot === undefined) res.writeHead(503, { 'content-length': '0' }).end()
  else res.writeHead(200, { 'content-length': String(Buffer.byteLength(snapshot)) }).end(snapshot)
}

/** Sends the reply over a connection from another node. */
class ConnectionReplyTarget extends ReplyTarget {
  override readonly ownsAnswer = false

  constructor (readonly res: ServerResponse) {
    super()
  }

  override send ({ result, answer }: AttemptReply): void {
    if (this.res.destroyed || this.res.headersSent) return
    const status = answer?.status ?? 200
    const headers = [...answer?.headers ?? [], [forwardHeaders.result, encodeAttemptResult(result)] as const]
    writeResponse(this.res, { status, headers, body: answer?.body ?? Buffer.alloc(0) })
  }
}

function attachGateway ({ handler }: ForwardServerOptions, req: IncomingMessage, target: ConnectionReplyTarget): void {
  const reservation = parseReservation(req)
  req.resume()
  detachOnClose(handler, reservation, target)
  // The reply has been discarded in the meantime; the request may have run.
  if (!handler.attachReplyTarget(reservation, target)) target.send({ result: { kind: 'broken' } })
}

async function receiveRequest (
  { runtime, handler, account }: ForwardServerOptions,
  req: IncomingMessage,
  target: ConnectionReplyTarget
): Promise<void> {
  const reservation = parseReservation(req)
  runtime.dispatch({ slice: 'admission', type: 'workArriving', reservation })
  const callerRequestId = decodePercent(String(req.headers[forwardHeaders.callerRequest] ?? ''))
  const share = account.openShare({ purpose: 'request', stage: 'receiving', callerRequestId })
  target.res.once('close', () => { share.close() })
  let body: BodyBuffer
  try {
    body = await readBody(req, { maxBytes: MAX_BODY_BYTES, share })
  } catch (err) {
    // Another node may have memory for it.
    if (err instanceof BodyEvictedError) return target.send({ result: { kind: 'rejected', refusal: 'full' } })
    // The gateway has gone or will ask for the state of its request; its reservation expires unused.
    target.res.destroy()
    return
  }
  const request = parseForwardedRequest(req, reservation, body)
  if (request === undefined) {
    // The reservation expires unused.
    target.res.writeHead(400, { 'content-length': '0' }).end()
    return
  }
  detachOnClose(handler, reservation, target)
  handler.acceptRequest(request, target)
}

function detachOnClose (handler: AdmissionHandler, reservation: ReservationId, target: ConnectionReplyTarget): void {
  target.res.once('close', () => { if (!target.res.writableFinished) handler.detachReplyTarget(reservation, target) })
}

/** @returns the request, or undefined if a header of the forwarding node is malformed */
function parseForwardedRequest (
  req: IncomingMessage,
  reservation: ReservationId,
  body: BodyBuffer
): ForwardedRequest | undefined {
  const getHeader = (name: string): string => String(req.headers[name] ?? '')
  const team = decodePercent(getHeader(forwardHeaders.team))
  const callerRequestId = decodePercent(getHeader(forwardHeaders.callerRequest))
  const timeoutMs = Number(getHeader(forwardHeaders.timeout))
  if (team === undefined || callerRequestId === undefined || !Number.isFinite(timeoutMs)) return undefined
  return {
    reservation,
    route: toId(getHeader(forwardHeaders.route)),
    team: team === '' ? undefined : toId(team),
    callerService: toId(getHeader(forwardHeaders.callerService)),
    callerRequestId,
    fingerprint: toId(getHeader(forwardHeaders.fingerprint)),
    timeout: millis(timeoutMs),
    head: {
      method: req.method ?? 'GET',
      target: req.url ?? '/',
      headers: removeConnectionHeaders(parseRawHeaders(req.rawHeaders))
    },
    body
  }
}

function parseReservation (req: IncomingMessage): ReservationId {
  return toId(String(req.headers[forwardHeaders.reservation]))
}
