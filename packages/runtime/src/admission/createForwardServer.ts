import { type AttemptId, type EndpointId, type Millis, millis, type RequestId, toId } from '@lavenderturn/types'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { ConnectionResponses } from '../connection/ConnectionResponses'
import { handleMalformedRequests } from '../handleMalformedRequests'
import { headers } from '../headers'
import { parseReference } from '../loadHeader'
import type { ExchangeCounter } from '../lifecycle/ExchangeCounter'
import type { Runtime } from '../Runtime'
import { sendProblem } from '../sendProblem'
import type { AdmissionHandler } from './AdmissionHandler'

/** Gateways send bodies up to this size from memory; longer bodies arrive at the speed of the caller. */
const MAX_BUFFERED_BODY_BYTES = 65_536

/** Longer than the idle timeout of gateways, so that the server never closes a connection first. */
const FORWARD_KEEP_ALIVE_MS = 60_000

/** Limit for the headers of a caller and those that the gateway adds. */
const MAX_HEADER_BYTES = 32_768

/** @public */
export interface ForwardServerOptions {
  readonly runtime: Runtime
  readonly handler: AdmissionHandler
  /** Counts open exchanges for a planned stop. */
  readonly counter?: ExchangeCounter
}

/**
 * Creates the HTTP server for forwarded requests of other nodes.
 *
 * @param options - the runtime that reduces the events, and the handler that dispatches the attempts
 * @returns the server, not yet listening
 * @public
 */
export function createForwardServer (options: ForwardServerOptions): Server {
  const server = createServer({
    keepAliveTimeout: FORWARD_KEEP_ALIVE_MS, requestTimeout: 0, maxHeaderSize: MAX_HEADER_BYTES
  })
  server.on('request', (req, res) => { acceptAttempt(options, { req, res, expectsContinue: false }) })
  server.on('checkContinue', (req, res) => { acceptAttempt(options, { req, res, expectsContinue: true }) })
  handleMalformedRequests(server, options.handler)
  return server
}

interface IncomingAttempt {
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly expectsContinue: boolean
}

interface AttemptHeaders {
  readonly attemptId: AttemptId
  readonly endpoint: EndpointId
  readonly timeout: Millis
}

function acceptAttempt ({ runtime, handler, counter }: ForwardServerOptions, arrival: IncomingAttempt): void {
  const { req, res } = arrival
  if (!ConnectionResponses.of(req.socket).add(res)) return
  if (req.method === 'OPTIONS' && req.url === '*') {
    answerProbe(handler, arrival)
    return
  }
  counter?.track(res)
  const attempt = readAttemptHeaders(req)
  if (attempt === undefined || handler.getAttemptState(attempt.attemptId) !== 'closed') {
    sendProblem({ req, res, result: 'malformedRequest' })
    return
  }
  const team = readHeader(req, headers.team)
  const requestId = toId<RequestId>(readHeader(req, headers.request) ?? '')
  const { attemptId } = attempt
  const streamed = isStreamed(req)
  if (streamed) req.once('end', () => { runtime.dispatch({ slice: 'admission', type: 'bodySent', attemptId }) })
  handler.addExchange(attemptId, { ...arrival, requestId })
  runtime.dispatch({
    slice: 'admission',
    type: 'workArrived',
    ...attempt,
    route: toId(readHeader(req, headers.route) ?? ''),
    team: team === undefined ? undefined : toId(team),
    fingerprint: toId(readHeader(req, headers.fingerprint) ?? ''),
    streamed,
    reference: parseReference(readHeader(req, headers.reference))
  })
}

function answerProbe (handler: AdmissionHandler, { req, res }: IncomingAttempt): void {
  const attempt = readHeader(req, headers.attempt)
  const state = attempt === undefined ? 'closed' : handler.getAttemptState(toId(attempt))
  res.writeHead(204, { [headers.attemptState]: state, connection: 'close' })
  res.end()
}

function readAttemptHeaders (req: IncomingMessage): AttemptHeaders | undefined {
  const attempt = readHeader(req, headers.attempt)
  const endpoint = readHeader(req, headers.endpoint)
  const timeout = Number(readHeader(req, headers.deadline))
  if (attempt === undefined || endpoint === undefined || !Number.isFinite(timeout)) return undefined
  return { attemptId: toId(attempt), endpoint: toId(endpoint), timeout: millis(timeout) }
}

function isStreamed ({ headers: received }: IncomingMessage): boolean {
  return received['transfer-encoding'] !== undefined ||
    Number(received['content-length'] ?? 0) > MAX_BUFFERED_BODY_BYTES
}

function readHeader (req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name]
  return typeof value === 'string' ? value : undefined
}
