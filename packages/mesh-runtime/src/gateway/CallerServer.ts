import type { CallerLimits } from '@lavenderturn/mesh'
import { type KeyHash, millis, type RequestId, type ResultName, toId } from '@lavenderturn/types'
import { createHash } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { MeshRuntime } from '../MeshRuntime'
import { dropConnectionHeaders } from '../protocol/connectionHeaders'
import { listHeaders, type RequestHead } from '../protocol/RequestHead'
import type { CallerClaims, RequestProtocol } from '../protocol/RequestProtocol'
import { BodyTooLargeError, readBody } from '../readBody'
import { writeAnswer } from '../writeAnswer'
import type { GatewayHandler } from './GatewayHandler'

/** Limits in force until a configuration has been read. */
const FIRST_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeout: millis(3_000), idleTimeout: millis(15_000)
}

/** The parser's own limit, which cannot be changed while the server runs. */
const PARSER_HEADER_BYTES = 65_536

/** Callers reuse connections for part of the idle timeout; this side closes them a little later than allowed. */
const IDLE_SLACK_MS = 1_000

/** @internal */
export interface CallerServerOptions {
  readonly runtime: MeshRuntime
  readonly handler: GatewayHandler
  readonly protocol: RequestProtocol
}

/** The HTTP server for callers. @internal */
export class CallerServer {
  readonly server: Server
  private readonly options: CallerServerOptions
  private nextRequest = 0
  private closing = false

  constructor (options: CallerServerOptions) {
    this.options = options
    this.server = createServer({ requestTimeout: 0, maxHeaderSize: PARSER_HEADER_BYTES })
    this.applyLimits(FIRST_LIMITS)
    this.server.on('request', (req, res) => { void this.receive(req, res) })
    this.server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
      const status = err.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request'
      if (socket.writable) socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
      else socket.destroy()
    })
  }

  /** Tells callers with each further answer that their connection closes. */
  closeKeptConnections (): void {
    this.closing = true
  }

  private applyLimits ({ headerTimeout, idleTimeout }: CallerLimits): void {
    this.server.headersTimeout = headerTimeout
    this.server.keepAliveTimeout = idleTimeout + IDLE_SLACK_MS
  }

  private async receive (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const arrivedAt = performance.now()
    const { runtime, protocol } = this.options
    const limits = runtime.query(({ configuration }) => configuration.current?.limits) ?? FIRST_LIMITS
    this.applyLimits(limits)
    if (this.closing) res.shouldKeepAlive = false
    const head: RequestHead = {
      method: req.method ?? 'GET', target: req.url ?? '/', headers: listHeaders(req.rawHeaders)
    }
    const claims = protocol.readClaims(head)
    if (typeof claims === 'string') return this.refuse(res, 'malformedRequest', claims)
    let body: Buffer
    try {
      body = await readBody(req, { maxBytes: limits.maxBodyBytes })
    } catch (err) {
      if (err instanceof BodyTooLargeError) this.refuse(res, 'bodyTooLarge', err.message, claims.requestId)
      else res.destroy()
      return
    }
    this.accept({ head, claims, body, res, ageMs: performance.now() - arrivedAt })
  }

  private refuse (res: ServerResponse, result: ResultName, detail: string, requestId = ''): void {
    res.shouldKeepAlive = false
    writeAnswer(res, this.options.protocol.composeRefusal(result, { requestId, detail }))
  }

  private accept ({ head, claims, body, res, ageMs }: {
    readonly head: RequestHead
    readonly claims: CallerClaims
    readonly body: Buffer
    readonly res: ServerResponse
    readonly ageMs: number
  }): void {
    const { runtime, handler, protocol } = this.options
    const requestId = toId<RequestId>(`q${this.nextRequest++}`)
    const host = readHost(head)
    const keyHash = claims.key === undefined ? undefined : hashKey(claims.key)
    const fingerprint = createHash('sha1')
      .update(`${head.method}\n${host}${head.target}\n${keyHash ?? ''}\n`).update(body).digest('base64url')
    handler.open({
      requestId,
      callerRequestId: claims.requestId,
      fingerprint: toId(fingerprint),
      head: { ...head, headers: protocol.selectRequestHeaders(dropConnectionHeaders(head.headers)) },
      body,
      res,
      attempts: new Map(),
      answers: new Map()
    })
    runtime.dispatch({
      slice: 'gateway',
      type: 'requestArrived',
      requestId,
      callerRequestId: claims.requestId,
      host,
      path: head.target.split('?', 1)[0]!,
      keyHash,
      fingerprint: toId(fingerprint),
      bodyBytes: body.length,
      patience: claims.patience,
      age: millis(ageMs)
    })
  }
}

function readHost ({ headers }: RequestHead): string {
  const host = headers.find(([name]) => name.toLowerCase() === 'host')?.[1] ?? ''
  return host.replace(/:\d+$/, '').toLowerCase()
}

/**
 * @param key - a caller's key
 * @returns its hash; the key itself is not kept
 * @public
 */
export function hashKey (key: string): KeyHash {
  return toId(createHash('sha256').update(key).digest('hex'))
}
