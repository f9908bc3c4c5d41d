import type { ServerNotice, WorkOutcome } from '@lavenderturn/mesh'
import type { Address } from '@lavenderturn/types'
import {
  type BodyBuffer, type ExchangeAgent, hasForwardableHeaders, isFinalStatus, limitInterimResponses, splitAddress
} from '@lavenderturn/runtime'
import { type ClientRequest, type IncomingMessage, request as startRequest } from 'node:http'
import type { Socket } from 'node:net'
import { removeConnectionHeaders } from '../protocol/connectionHeaders'
import { BodyTooLargeError } from '../body/bodyErrors'
import { SpooledBody } from '../body/SpooledBody'
import type { MemoryAccount } from '../memory/MemoryAccount'
import { groupHeaders } from '../protocol/groupHeaders'
import { type Answer, type HeaderList, parseRawHeaders } from '../protocol/RequestHead'
import type { RequestProtocol } from '../protocol/RequestProtocol'

/** Backend servers run on the same instance; one that has not accepted a connection in this time is unreachable. */
const CONNECT_TIMEOUT_MS = 400

const MAX_RESPONSE_BYTES = 33_554_432

/**
 * Allows a response of the maximum size in chunks of 128 bytes. Reading this many chunks takes half a second of
 * processor time; a response of the maximum size in chunks of one byte would take more than a minute.
 */
const MAX_RESPONSE_PIECES = 262_144

/** Larger than the limit for requests, because the backend server adds its own headers. */
const MAX_RESPONSE_HEADER_BYTES = 65_536

/** @internal */
export interface BackendExchangeOptions {
  /** If absent, the exchange uses a new connection. */
  readonly agent?: ExchangeAgent
  readonly address: Address
  readonly method: string
  readonly target: string
  readonly headers: HeaderList
  readonly body: BodyBuffer
  readonly protocol: RequestProtocol
  /** The caller's id of the request, which the response must repeat. */
  readonly callerRequestId: string
  /** Account of the node's memory; the response is not counted by default. */
  readonly account?: MemoryAccount
  /** Time after which the exchange is aborted. */
  readonly timeoutMs: number
}

/** Outcome of an exchange, with the response if it is usable. @internal */
export interface BackendResult {
  readonly outcome: WorkOutcome
  /** Present if the response is the server's own response to the request. */
  readonly notice?: ServerNotice
  /** Its body may still be read, if it can only be passed on while it is read. */
  readonly answer?: Answer
}

/** One request to a backend server and its response. @internal */
export class BackendExchange {
  private request: ClientRequest | undefined
  private aborted: 'aborted' | 'timeout' | undefined
  private connected = false
  private answered = false
  private socketFailed = false
  /**
   * Whether the server closed its side before the whole request was sent. Node then closes the connection, so that a
   * reset which follows is not seen.
   */
  private endedEarly = false
  private flooded = false
  private oversized = false
  private isStreaming = false
  private response: IncomingMessage | undefined
  private timers: NodeJS.Timeout[] = []

  constructor (private readonly options: BackendExchangeOptions) {}

  /** Whether this node aborted the exchange. */
  get isAborted (): boolean {
    return this.aborted !== undefined
  }

  /** @returns the outcome; never rejects */
  async run (): Promise<BackendResult> {
    const deadlineTimer = setTimeout(() => { this.abort('timeout') }, this.options.timeoutMs)
    this.timers.push(deadlineTimer)
    try {
      return await this.runOnce()
    } finally {
      if (this.isStreaming) this.response!.once('close', () => { this.clearTimers() })
      else this.clearTimers()
    }
  }

  /**
   * Aborts the exchange by closing its connection; most backend servers then cancel the request.
   *
   * @param reason - reported in the outcome
   */
  abort (reason: 'aborted' | 'timeout' = 'aborted'): void {
    this.aborted ??= reason
    this.request?.destroy()
  }

  private clearTimers (): void {
    for (const timer of this.timers) clearTimeout(timer)
  }

  private async runOnce (): Promise<BackendResult> {
    let body: SpooledBody | undefined
    try {
      const response = await this.send()
      this.response = response
      const status = response.statusCode ?? 0
      const headers = parseRawHeaders(response.rawHeaders)
      const responseClass = this.options.protocol.classifyResponse({ status, headers }, this.options.callerRequestId)
      const canForward = isFinalStatus(status) && hasForwardableHeaders(response.rawHeaders)
      if (responseClass === 'foreign' || !canForward) {
        this.request?.destroy()
        return { outcome: { kind: 'broken', reason: 'foreign' } }
      }
      body = this.createBody(response)
      await body.ready
      const isDeclined = responseClass === 'misdirected' || responseClass === 'declined'
      if (isDeclined) body.discard()
      if (responseClass === 'misdirected') return { outcome: { kind: 'declined', misdirected: true } }
      const notice = this.options.protocol.readNotice(headers)
      if (responseClass === 'declined') return { outcome: { kind: 'declined', misdirected: false }, notice }
      this.isStreaming = !body.isWhole
      const answer = { status, headers: removeConnectionHeaders(headers), body }
      return { outcome: { kind: 'answered', failed: responseClass === 'failed', status }, notice, answer }
    } catch (err) {
      this.oversized = err instanceof BodyTooLargeError
      body?.discard()
      // Apart from that, the outcome depends on how far the exchange had progressed, not on the error.
      return this.describeFailure()
    }
  }

  private createBody (message: IncomingMessage): SpooledBody {
    const { account, callerRequestId } = this.options
    return new SpooledBody({
      message,
      share: account?.openShare({ purpose: 'response', stage: 'reading', callerRequestId }),
      maxBytes: MAX_RESPONSE_BYTES,
      maxPieces: MAX_RESPONSE_PIECES,
      isReusable: true,
      // Node reports a normal end for a response without a length even if its connection is reset. The error event of
      // the request comes first, unless the server closed its side before the reset.
      hasFailed: () => this.socketFailed || (this.endedEarly && isDelimitedByClose(message))
    })
  }

  private describeFailure (): BackendResult {
    const { answered, request } = this
    // The client did not accept the headers, so that nothing was sent.
    if (request === undefined) return { outcome: { kind: 'declined', misdirected: false } }
    request.destroy()
    if (this.aborted === 'aborted') return { outcome: { kind: 'aborted' } }
    if (this.aborted === 'timeout') return { outcome: { kind: 'broken', reason: 'timeout' } }
    if (!this.connected) return { outcome: { kind: 'unreachable' } }
    if (this.flooded) return { outcome: { kind: 'broken', reason: 'foreign' } }
    if (this.oversized) return { outcome: { kind: 'broken', reason: 'oversized' } }
    if (answered) return { outcome: { kind: 'broken', reason: 'truncated' } }
    return { outcome: { kind: 'broken', reason: request.reusedSocket ? 'staleConnection' : 'reset' } }
  }

  private async send (): Promise<IncomingMessage> {
    const { agent, address, method, target, headers, body } = this.options
    agent?.closeExpiredConnections()
    return await new Promise((resolve, reject) => {
      const request = startRequest({
        ...splitAddress(address),
        method,
        path: target,
        agent: agent ?? false,
        maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
        headers: composeHeaders(headers, method, body)
      })
      this.request = request
      limitInterimResponses(request, () => {
        this.flooded = true
        request.destroy()
      })
      request.on('socket', (socket) => { this.trackConnection(request, socket) })
      request.on('response', (response) => {
        this.answered = true
        resolve(response)
      })
      request.on('error', (err) => {
        this.socketFailed = true
        reject(err)
      })
      request.on('close', () => { reject(new Error('connection closed before a response')) })
      for (const piece of body.pieces) request.write(piece)
      request.end()
    })
  }

  private trackConnection (request: ClientRequest, socket: Socket): void {
    // When data and a reset arrive together, libuv reports the reset as a normal end of the stream. The socket still
    // tells the two apart, because a connection that was reset has no peer address. Node's own `end` listener ends the
    // socket, so this listener has to run before it.
    const inspectEnd = (): void => {
      if (socket.remotePort === undefined) this.socketFailed = true
      this.endedEarly = !request.writableFinished
    }
    socket.prependListener('end', inspectEnd)
    request.once('close', () => { socket.off('end', inspectEnd) })
    if (!socket.connecting) {
      this.connected = true
      return
    }
    const timer = setTimeout(() => { request.destroy(new Error('connect timeout')) }, CONNECT_TIMEOUT_MS)
    this.timers.push(timer)
    socket.once('connect', () => {
      this.connected = true
      clearTimeout(timer)
    })
  }
}

/** @returns whether the body of a response ends with its connection, as it has no length and is not sent in chunks */
function isDelimitedByClose ({ headers }: IncomingMessage): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined
}

function composeHeaders (headers: HeaderList, method: string, body: BodyBuffer): Record<string, string | string[]> {
  const grouped = groupHeaders(headers)
  const hasBody = body.size > 0 || method === 'POST' || method === 'PUT' || method === 'PATCH'
  if (hasBody) grouped['Content-Length'] = String(body.size)
  return grouped
}
