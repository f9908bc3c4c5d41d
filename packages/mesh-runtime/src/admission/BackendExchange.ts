import type { WorkOutcome } from '@lavenderturn/mesh'
import type { Address } from '@lavenderturn/types'
import { splitAddress, type ExchangeAgent } from '@lavenderturn/runtime'
import { type ClientRequest, type IncomingMessage, request as startRequest } from 'node:http'
import type { Socket } from 'node:net'
import { dropConnectionHeaders } from '../protocol/connectionHeaders'
import { type HeaderList, listHeaders, type WholeAnswer } from '../protocol/RequestHead'
import type { RequestProtocol } from '../protocol/RequestProtocol'
import { IncompleteBodyError, readBody } from '../readBody'

/** A backend server is on the same instance; one that has not accepted after this time is gone. */
const CONNECT_TIMEOUT_MS = 400

/** The longest answer that is taken. */
const MAX_ANSWER_BYTES = 33_554_432

/** Headers of answers are larger than those of requests, because the backend server adds its own. */
const MAX_ANSWER_HEADER_BYTES = 65_536

/** @internal */
export interface BackendExchangeOptions {
  /** Absent: a connection of its own. */
  readonly agent?: ExchangeAgent
  readonly address: Address
  readonly method: string
  readonly target: string
  readonly headers: HeaderList
  readonly body: Buffer
  readonly protocol: RequestProtocol
  /** The caller's id of the request, which the answer must repeat. */
  readonly callerRequestId: string
  /** Time after which the exchange is broken off. */
  readonly timeoutMs: number
}

/** How an exchange ended, and the answer if there is a usable one. @internal */
export interface BackendResult {
  readonly outcome: WorkOutcome
  readonly answer?: WholeAnswer
}

/** One request to a backend server and its answer. @internal */
export class BackendExchange {
  private request: ClientRequest | undefined
  private aborted: 'aborted' | 'timeout' | undefined
  private connected = false
  private answered = false
  private socketFailed = false
  private timers: NodeJS.Timeout[] = []

  constructor (private readonly options: BackendExchangeOptions) {}

  /** @returns how the exchange ended; never rejects */
  async run (): Promise<BackendResult> {
    const deadline = setTimeout(() => { this.abort('timeout') }, this.options.timeoutMs)
    this.timers.push(deadline)
    try {
      return await this.exchange(this.options.agent)
    } finally {
      for (const timer of this.timers) clearTimeout(timer)
    }
  }

  /**
   * Breaks the exchange off; most backend servers drop a request whose connection closes.
   *
   * @param reason - why
   */
  abort (reason: 'aborted' | 'timeout' = 'aborted'): void {
    this.aborted ??= reason
    this.request?.destroy()
  }

  private async exchange (agent: ExchangeAgent | undefined): Promise<BackendResult> {
    try {
      const response = await this.send(agent)
      const status = response.statusCode ?? 0
      const headers = listHeaders(response.rawHeaders)
      const meaning = this.options.protocol.interpretAnswer({ status, headers }, this.options.callerRequestId)
      if (meaning === 'foreign') {
        this.request?.destroy()
        return { outcome: { kind: 'broken', reason: 'foreign' } }
      }
      const body = await readBody(response, { maxBytes: MAX_ANSWER_BYTES })
      // Node ends an answer without a length in order also when its connection is reset, after the request's error.
      if (this.socketFailed) throw new IncompleteBodyError('connection reset inside the body')
      if (meaning === 'declined' || meaning === 'misdirected') {
        return { outcome: { kind: 'declined', misdirected: meaning === 'misdirected' } }
      }
      const answer = { status, headers: dropConnectionHeaders(headers), body }
      return { outcome: { kind: 'answered', failed: meaning === 'failed' }, answer }
    } catch {
      // What the error means follows from how far the exchange had come.
      return await this.handleFailure(agent)
    }
  }

  private async handleFailure (agent: ExchangeAgent | undefined): Promise<BackendResult> {
    const request = this.request!
    const { answered } = this
    request.destroy()
    if (this.aborted === 'aborted') return { outcome: { kind: 'aborted' } }
    if (this.aborted === 'timeout') return { outcome: { kind: 'broken', reason: 'timeout' } }
    if (!this.connected) return { outcome: { kind: 'unreachable' } }
    if (answered) return { outcome: { kind: 'broken', reason: 'truncated' } }
    // The server had closed the idle connection. Only requests that may be repeated use one.
    if (request.reusedSocket && agent !== undefined) return await this.exchange(undefined)
    return { outcome: { kind: 'broken', reason: 'reset' } }
  }

  private async send (agent: ExchangeAgent | undefined): Promise<IncomingMessage> {
    const { address, method, target, headers, body } = this.options
    agent?.closeStale()
    this.connected = false
    this.answered = false
    this.socketFailed = false
    return await new Promise((resolve, reject) => {
      const request = startRequest({
        ...splitAddress(address),
        method,
        path: target,
        agent: agent ?? false,
        maxHeaderSize: MAX_ANSWER_HEADER_BYTES,
        headers: groupHeaders(headers, method, body)
      })
      this.request = request
      request.on('socket', (socket) => { this.watchConnect(request, socket) })
      request.on('response', (response) => {
        this.answered = true
        resolve(response)
      })
      request.on('error', (err) => {
        this.socketFailed = true
        reject(err)
      })
      request.on('close', () => { reject(new Error('connection closed before an answer')) })
      request.end(body)
    })
  }

  private watchConnect (request: ClientRequest, socket: Socket): void {
    // When data and a reset arrive together, libuv reports the reset as an orderly end of the stream. The kernel still
    // tells the two apart: a connection that was reset has no peer any more. Node's own listener ends the socket, so
    // that this one has to look first.
    const lookAtEnd = (): void => { if (socket.remotePort === undefined) this.socketFailed = true }
    socket.prependListener('end', lookAtEnd)
    request.once('close', () => { socket.off('end', lookAtEnd) })
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

function groupHeaders (headers: HeaderList, method: string, body: Buffer): Record<string, string | string[]> {
  const grouped: Record<string, string | string[]> = {}
  for (const [name, value] of headers) {
    const held = grouped[name]
    grouped[name] = held === undefined ? value : [held, value].flat()
  }
  const hasBody = body.length > 0 || method === 'POST' || method === 'PUT' || method === 'PATCH'
  if (hasBody) grouped['Content-Length'] = String(body.length)
  return grouped
}
