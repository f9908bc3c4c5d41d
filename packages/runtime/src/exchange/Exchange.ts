import type { FailureReason } from '@lavenderturn/decisions'
import type { Address, AttemptId } from '@lavenderturn/types'
import { once } from 'node:events'
import { type ClientRequest, type IncomingMessage, type OutgoingHttpHeaders, request as startRequest } from 'node:http'
import type { Socket } from 'node:net'
import type { Readable } from 'node:stream'
import { splitAddress } from '../splitAddress'
import type { ExchangeAgent } from './ExchangeAgent'
import { ExchangeError } from './ExchangeError'
import { hasForwardableHeaders } from './hasForwardableHeaders'
import { limitInterimResponses } from './limitInterimResponses'
import { probeAddress } from './probeAddress'
import { ProgressMonitor, type ProgressMonitorOptions } from './ProgressMonitor'

/** Connecting takes about 1 ms; a host that has not accepted after this time is considered unreachable. */
const CONNECT_TIMEOUT_MS = 1_000

/** Larger than the header limit for callers, because nodes add headers of their own to answers. */
export const MAX_ANSWER_HEADER_BYTES = 65_536

/** @internal */
export interface ExchangeBody {
  /** The first bytes of the body, or all of it. */
  readonly prefix?: Buffer
  /** Stream of the bytes after the prefix. */
  readonly rest?: Readable
  /** Size of the whole body; chunked framing is used when it is unknown. */
  readonly lengthBytes?: number
  /** Maximum size of the body; checked while it is sent. */
  readonly limitBytes?: number
}

/** @internal */
export interface ExchangeOptions {
  readonly agent: ExchangeAgent
  readonly address: Address
  readonly attemptId: AttemptId
  readonly method: string
  readonly path: string
  readonly headers: OutgoingHttpHeaders
  readonly body?: ExchangeBody
  /** Waits for `100 Continue` before the body is sent, so that a refused upload can be retried elsewhere. */
  readonly expectContinue?: boolean
  /** Time to wait for `100 Continue`; servers may ignore the expectation. */
  readonly continueTimeoutMs?: number
  readonly progress: Pick<ProgressMonitorOptions, 'silenceTimeoutMs' | 'initialCheckDelayMs' | 'idleRecheckDelayMs'>
  /** Called right before the first byte of a body that cannot be replayed. */
  readonly onBodyStarted?: () => void
  readonly onBodyTooLarge?: () => void
}

/**
 * One request on one connection, and its answer. The connection is closed and not reused when the exchange fails or
 * is cancelled.
 *
 * @internal
 */
export class Exchange {
  private readonly request: ClientRequest
  private response: IncomingMessage | undefined
  private progressMonitor: ProgressMonitor | undefined
  private connected = false
  private bodyStarted = false
  private waitingForBodySource = false
  private verdict: FailureReason | undefined
  private readonly timers: NodeJS.Timeout[] = []

  constructor (private readonly options: ExchangeOptions) {
    options.agent.closeExpiredConnections()
    this.request = startRequest({
      ...splitAddress(options.address),
      method: options.method,
      path: options.path,
      agent: options.agent,
      maxHeaderSize: MAX_ANSWER_HEADER_BYTES,
      headers: { ...options.headers, ...this.createBodyHeaders() }
    })
  }

  /**
   * Sends the request.
   *
   * @returns the head of the answer; its body must be read
   * @throws ExchangeError when there is no answer
   */
  async start (): Promise<IncomingMessage> {
    return await new Promise((resolve, reject) => {
      limitInterimResponses(this.request, () => { this.cancel('truncated') })
      this.request.on('socket', (socket) => { this.monitorSocket(socket) })
      this.request.on('response', (response) => {
        if (!hasForwardableHeaders(response.rawHeaders)) {
          response.on('error', () => { /* The error of the request is reported. */ })
          this.cancel('truncated')
          return
        }
        this.handleResponse(response)
        resolve(response)
      })
      this.request.on('error', (err) => { reject(this.createError(err)) })
      this.request.on('close', () => {
        this.stopTimers()
        if (this.response === undefined) reject(this.createError())
      })
      this.send()
    })
  }

  /**
   * Ends the exchange and closes its connection.
   *
   * @param reason - reason that the error of `start`, or of the stream of the answer, reports
   */
  cancel (reason: FailureReason = 'cancelled'): void {
    this.verdict ??= reason
    this.request.destroy()
  }

  /** Whether the exchange waits for more data from the source of the request body. */
  get isWaitingForBody (): boolean {
    return this.waitingForBodySource && this.response === undefined
  }

  /** Discards the rest of the answer. Reading a short answer to its end keeps the connection reusable. */
  discardAnswer (): void {
    this.response?.resume()
  }

  /**
   * Creates an error that describes why the exchange failed.
   *
   * @param cause - the underlying error
   * @returns the error to report
   */
  createError (cause?: unknown): ExchangeError {
    const defaultReason = this.response !== undefined ? 'truncated' : this.connected ? 'reset' : 'connect'
    return new ExchangeError({ reason: this.verdict ?? defaultReason, sent: this.connected, cause })
  }

  private createBodyHeaders (): OutgoingHttpHeaders {
    const { body, expectContinue = false, method } = this.options
    if (body === undefined) return method === 'POST' || method === 'PUT' ? { 'content-length': '0' } : {}
    const framing: OutgoingHttpHeaders = body.lengthBytes === undefined
      ? { 'transfer-encoding': 'chunked' }
      : { 'content-length': String(body.lengthBytes) }
    return expectContinue ? { ...framing, expect: '100-continue' } : framing
  }

  private send (): void {
    const { body, expectContinue = false, continueTimeoutMs } = this.options
    if (body === undefined) {
      this.request.end()
      return
    }
    if (!expectContinue) {
      void this.sendBody(body)
      return
    }
    this.request.once('continue', () => { void this.sendBody(body) })
    this.request.flushHeaders()
    if (continueTimeoutMs !== undefined) this.startTimer(continueTimeoutMs, () => { void this.sendBody(body) })
  }

  private async sendBody ({ prefix, rest, limitBytes = Infinity }: ExchangeBody): Promise<void> {
    if (this.bodyStarted || this.response !== undefined) return
    this.bodyStarted = true
    if (rest === undefined) {
      this.request.end(prefix)
      return
    }
    this.options.onBodyStarted?.()
    let size = prefix?.length ?? 0
    if (size > 0) this.request.write(prefix)
    try {
      this.waitingForBodySource = true
      // The source must not be destroyed: its connection is still needed to send the refusal.
      for await (const chunk of rest.iterator({ destroyOnReturn: false })) {
        size += (chunk as Buffer).length
        if (size > limitBytes) {
          this.options.onBodyTooLarge?.()
          return
        }
        if (!(await this.writeChunk(chunk as Buffer))) return
      }
      this.waitingForBodySource = false
      this.request.end()
    } catch {
      this.cancel()
    }
  }

  private async writeChunk (chunk: Buffer): Promise<boolean> {
    if (this.request.destroyed || this.response !== undefined) return false
    if (this.request.write(chunk)) return true
    this.waitingForBodySource = false
    const controller = new AbortController()
    const { signal } = controller
    await Promise.race([
      once(this.request, 'drain', { signal }), once(this.request, 'close', { signal }),
      once(this.request, 'response', { signal })
    ]).catch(() => {}).finally(() => { controller.abort() })
    this.waitingForBodySource = true
    return !this.request.destroyed && this.response === undefined
  }

  private monitorSocket (socket: Socket): void {
    if (!socket.connecting) return this.startProgressMonitor(socket)
    const timer = this.startTimer(CONNECT_TIMEOUT_MS, () => { this.cancel('connect') })
    socket.once('connect', () => {
      clearTimeout(timer)
      this.startProgressMonitor(socket)
    })
  }

  private startProgressMonitor (socket: Socket): void {
    this.connected = true
    const { address, attemptId, progress } = this.options
    const initialBytes = socket.bytesRead + socket.bytesWritten
    this.progressMonitor = new ProgressMonitor({
      ...progress,
      countBytes: () => socket.bytesRead + socket.bytesWritten - socket.writableLength - initialBytes,
      isPausedLocally: () => this.isPausedLocally(),
      probe: async () => await probeAddress({ address, attemptId }),
      onFailure: (reason) => { this.cancel(reason) }
    })
  }

  private isPausedLocally (): boolean {
    // The reader of the answer applies back-pressure, or the source of the request body has no data.
    return (this.response?.readableLength ?? 0) > 0 || this.isWaitingForBody
  }

  private handleResponse (response: IncomingMessage): void {
    this.response = response
    // Readers get the error from the stream; without a listener it would be an uncaught exception.
    response.on('error', () => {})
    response.once('close', () => {
      this.stopTimers()
      // The connection cannot be reused when the answer ends before the request has been sent completely.
      if (!this.request.writableFinished) this.request.destroy()
    })
  }

  private startTimer (delayMs: number, run: () => void): NodeJS.Timeout {
    const timer = setTimeout(run, delayMs)
    this.timers.push(timer)
    return timer
  }

  private stopTimers (): void {
    this.progressMonitor?.stop()
    for (const timer of this.timers) clearTimeout(timer)
  }
}
