import { type CallerLimits, DEFAULT_RETRY_AFTER } from '@lavenderturn/mesh'
import {
  type BodyBuffer, closeIdleAfterReading, ConnectionResponses, hasForwardableHeaders, rejectUnreadable
} from '@lavenderturn/runtime'
import { type Fingerprint, type KeyHash, millis, type RequestId, type ResultCodeName, toId } from '@lavenderturn/types'
import type { ConsolaInstance } from 'consola'
import { createHash } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { BodyEvictedError, BodyTooLargeError } from '../body/bodyErrors'
import { readBody } from '../body/readBody'
import { describeError } from '../describeError'
import { limitConnections } from '../limitConnections'
import type { MemoryAccount } from '../memory/MemoryAccount'
import type { MeshRuntime } from '../MeshRuntime'
import { removeConnectionHeaders } from '../protocol/connectionHeaders'
import { parseRawHeaders, type RequestHead } from '../protocol/RequestHead'
import type { CallerRequestFields, RequestProtocol } from '../protocol/RequestProtocol'
import { writeResponse } from '../writeResponse'
import { CallerConnections } from './CallerConnections'
import { CallerInputRefuser } from './CallerInputRefuser'
import type { GatewayHandler } from './GatewayHandler'

/** Limits that apply until a configuration has been read. */
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeout: millis(3_000), idleTimeout: millis(15_000)
}

/** Limit of the HTTP parser, which cannot be changed while the server runs. */
const MAX_PARSER_HEADER_BYTES = 65_536

/** Callers reuse connections for less than the idle timeout; the margin avoids closing one that is being reused. */
const IDLE_TIMEOUT_MARGIN_MS = 1_000

/** Interval between checks for connections whose head takes too long. */
const HEAD_CHECK_INTERVAL_MS = 1_000

/** @internal */
export interface CallerServerOptions {
  readonly runtime: MeshRuntime
  readonly handler: GatewayHandler
  readonly protocol: RequestProtocol
  readonly account: MemoryAccount
  /** Most connections of callers. */
  readonly maxConnections: number
  readonly log: ConsolaInstance
}

/** A caller's request that was received completely. */
interface Arrival {
  readonly head: RequestHead
  readonly fields: CallerRequestFields
  readonly body: BodyBuffer
}

/** The HTTP server for callers. @internal */
export class CallerServer {
  readonly server: Server
  private readonly options: CallerServerOptions
  private readonly connections: CallerConnections
  private nextRequestNumber = 0
  private closing = false

  constructor (options: CallerServerOptions) {
    this.options = options
    const { runtime, account, maxConnections } = options
    this.connections = new CallerConnections({
      account,
      onOverflow: (waiting) => { runtime.dispatch({ slice: 'gateway', type: 'connectionOverflowed', waiting }) }
    })
    this.server = createServer({
      requestTimeout: 0, maxHeaderSize: MAX_PARSER_HEADER_BYTES, connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS
    })
    limitConnections(this.server, {
      maxConnections,
      onDropped: (count) => { runtime.dispatch({ slice: 'gateway', type: 'connectionsDropped', port: 'callers', count }) }
    })
    this.applyLimits(DEFAULT_LIMITS)
    this.server.on('request', (req, res) => { this.accept(req, res) })
    closeIdleAfterReading(this.server)
    rejectUnreadable(this.server, new CallerInputRefuser({
      runtime, refuseMalformed: (res, detail) => { this.refuse(res, 'malformedRequest', detail) }
    }))
  }

  /** From now on ends each connection with the next request that is read on it. */
  closeKeptConnections (): void {
    this.closing = true
  }

  private applyLimits ({ headerTimeout, idleTimeout }: CallerLimits): void {
    this.server.headersTimeout = headerTimeout
    this.server.keepAliveTimeout = idleTimeout + IDLE_TIMEOUT_MARGIN_MS
  }

  private accept (req: IncomingMessage, res: ServerResponse): void {
    const { runtime } = this.options
    const arrivedAt = performance.now()
    if (!ConnectionResponses.of(req.socket).add(res)) {
      this.connections.ignore(res)
      return
    }
    runtime.dispatch({ slice: 'gateway', type: 'exchangeOpened' })
    res.once('close', () => { runtime.dispatch({ slice: 'gateway', type: 'exchangeClosed' }) })
    this.connections.add(res, () => { void this.receive(req, res, arrivedAt) })
  }

  private async receive (req: IncomingMessage, res: ServerResponse, arrivedAt: number): Promise<void> {
    const { log } = this.options
    let arrival: Arrival | undefined
    try {
      arrival = await this.read(req, res)
    } catch (err) {
      log.error('request failed in this node', { error: describeError(err) })
      this.refuse(res, 'internal', 'the request could not be read')
    }
    // Outside the `try`: an error of the reducer ends the process.
    if (arrival !== undefined) this.dispatchRequest({ ...arrival, res, ageMs: performance.now() - arrivedAt })
  }

  /** Reads a request, and refuses it if it is not valid. */
  private async read (req: IncomingMessage, res: ServerResponse): Promise<Arrival | undefined> {
    const { runtime, protocol } = this.options
    const limits = runtime.query(({ configuration }) => configuration.current?.limits) ?? DEFAULT_LIMITS
    this.applyLimits(limits)
    if (this.closing) endConnection(res)
    const head: RequestHead = {
      method: req.method ?? 'GET', target: req.url ?? '/', headers: parseRawHeaders(req.rawHeaders)
    }
    if (!hasForwardableHeaders(req.rawHeaders)) {
      this.refuse(res, 'malformedRequest', 'a header is not valid')
      return undefined
    }
    const fields = protocol.parseCallerRequest(head)
    if (typeof fields === 'string') {
      this.refuse(res, 'malformedRequest', fields)
      return undefined
    }
    const { account } = this.options
    const share = account.openShare({ purpose: 'request', stage: 'receiving', callerRequestId: fields.requestId })
    res.once('close', () => { share.close() })
    try {
      return { head, fields, body: await readBody(req, { maxBytes: limits.maxBodyBytes, share }) }
    } catch (err) {
      this.endUnread(res, fields.requestId, err)
      return undefined
    }
  }

  /** Ends an exchange whose body was not read to its end. */
  private endUnread (res: ServerResponse, requestId: string, err: unknown): void {
    if (err instanceof BodyTooLargeError) this.refuse(res, 'bodyTooLarge', err.message, requestId)
    else if (err instanceof BodyEvictedError) this.refuse(res, 'overloaded', err.message, requestId)
    else res.destroy()
  }

  private refuse (res: ServerResponse, result: ResultCodeName, detail: string, requestId = ''): void {
    const { runtime, protocol } = this.options
    runtime.dispatch({ slice: 'gateway', type: 'exchangeRefused', callerRequestId: requestId, result, detail })
    endConnection(res)
    writeResponse(res, protocol.composeRefusal(result, { requestId, detail, retryAfter: DEFAULT_RETRY_AFTER }))
  }

  private dispatchRequest (
    { head, fields, body, res, ageMs }: Arrival & { readonly res: ServerResponse, readonly ageMs: number }
  ): void {
    const { runtime, handler, protocol } = this.options
    const requestId = toId<RequestId>(`q${this.nextRequestNumber++}`)
    const host = parseHost(head)
    const keyHash = fields.key === undefined ? undefined : hashKey(fields.key)
    const hash = createHash('sha1')
      .update(`${head.method}\n${host}${head.target}\n${keyHash ?? ''}\n`)
    for (const piece of body.pieces) hash.update(piece)
    const fingerprint = toId<Fingerprint>(hash.digest('base64url'))
    handler.registerExchange({
      requestId,
      callerRequestId: fields.requestId,
      fingerprint,
      head: { ...head, headers: protocol.filterRequestHeaders(removeConnectionHeaders(head.headers)) },
      body,
      res,
      attempts: new Map(),
      responses: new Map()
    })
    runtime.dispatch({
      slice: 'gateway',
      type: 'requestArrived',
      requestId,
      callerRequestId: fields.requestId,
      host,
      path: head.target.split('?', 1)[0]!,
      keyHash,
      fingerprint,
      bodyBytes: body.size,
      callerTimeout: fields.callerTimeout,
      age: millis(ageMs)
    })
  }
}

/** Ends the connection of a response after that to the newest request, so that no request runs without an answer. */
function endConnection ({ req }: ServerResponse): void {
  ConnectionResponses.of(req.socket).finish()
}

function parseHost ({ headers }: RequestHead): string {
  const host = headers.find(([name]) => name.toLowerCase() === 'host')?.[1] ?? ''
  return host.replace(/:\d+$/, '').toLowerCase()
}

/**
 * Hashes a caller's key, so that the key itself is not stored.
 *
 * @param key - a caller's key
 * @returns its SHA-256 hash
 * @public
 */
export function hashKey (key: string): KeyHash {
  return toId(createHash('sha256').update(key).digest('hex'))
}
