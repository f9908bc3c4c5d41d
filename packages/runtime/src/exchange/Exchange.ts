import type { FailureReason } from '@lavenderturn/decisions'
import type { Address, AttemptId } from '@lavenderturn/types'
import { once } from 'node:events'
import { type ClientRequest, type IncomingMessage, type OutgoingHttpHeaders, request as startRequest } from 'node:http'
import type { Socket } from 'node:net'
import type { Readable } from 'node:stream'
import { splitAddress } from '../splitAddress'
import type { ExchangeAgent } from './ExchangeAgent'
import { ExchangeError } from './ExchangeError'
import { probeAddress } from './probeAddress'
import { ProgressWatch, type ProgressWatchOptions } from './ProgressWatch'

/** A connection takes about 1 ms; a host that has not accepted after this time is gone. */
const CONNECT_TIMEOUT_MS = 1_000

/** Headers of an answer may be larger than those that callers may send, because nodes add their own. */
export const MAX_ANSWER_HEADER_BYTES = 65_536

/** @internal */
export interface ExchangeBody {
  /** The first bytes, or all of them. */
  readonly prefix?: Buffer
  /** What follows the first bytes. */
  readonly rest?: Readable
  /** Size of the whole body; chunked framing is used when it is not known. */
  readonly lengthBytes?: number
  /** Size from which on the body is refused; checked while it is sent. */
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
  /** Waits for `100 Continue` before the body is sent, so that a refused upload has sent nothing. */
  readonly expectContinue?: boolean
  /** How long to wait for `100 Continue`; servers are free to ignore the expectation. */
  readonly continueTimeoutMs?: number
  readonly progress: Pick<ProgressWatchOptions, 'silentAfterMs' | 'firstCheckMs' | 'confirmMs'>
  /** Called right before the first byte of a body that cannot be sent again. */
  readonly onBodyStarted?: () => void
  readonly onBodyTooLarge?: () => void
}

/**
 * One request on one connection and its answer. A connection whose exchange failed or was cancelled is closed and
 * never used again.
 *
 * @internal
 */
export class Exchange {
  private readonly request: ClientRequest
  private response: IncomingMessage | undefined
  private watch: ProgressWatch | undefined
  private connected = false
  private bodyStarted = false
  private bodyWaits = false
  private verdict: FailureReason | undefined
  private readonly timers: NodeJS.Timeout[] = []

  constructor (private readonly options: ExchangeOptions) {
    options.agent.closeStale()
    this.request = startRequest({
      ...splitAddress(options.address),
      method: options.method,
      path: options.path,
      agent: options.agent,
      maxHeaderSize: MAX_ANSWER_HEADER_BYTES,
      headers: { ...options.headers, ...this.describeBody() }
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
      this.request.on('socket', (socket) => { this.watchSocket(socket) })
      this.request.on('response', (response) => {
        this.takeResponse(response)
        resolve(response)
      })
      this.request.on('error', (err) => { reject(this.describeFailure(err)) })
      this.request.on('close', () => {
        this.stopTimers()
        if (this.response === undefined) reject(this.describeFailure())
      })
      this.send()
    })
  }

  /**
   * Ends the exchange and closes its connection.
   *
   * @param reason - why, for the error that `start` or the reader of the answer gets
   */
  cancel (reason: FailureReason = 'cancelled'): void {
    this.verdict ??= reason
    this.request.destroy()
  }

  /** Whether the body waits for its source. */
  get isWaitingForBody (): boolean {
    return this.bodyWaits && this.response === undefined
  }

  /** Reads what is left of an answer that nobody needs; a short one leaves its connection usable. */
  finish (): void {
    this.response?.resume()
  }

  /**
   * Describes why the exchange failed.
   *
   * @param cause - the error that showed it
   * @returns the error to report
   */
  describeFailure (cause?: unknown): ExchangeError {
    const usual = this.response !== undefined ? 'truncated' : this.connected ? 'reset' : 'connect'
    return new ExchangeError({ reason: this.verdict ?? usual, sent: this.connected, cause })
  }

  private describeBody (): OutgoingHttpHeaders {
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
      this.bodyWaits = true
      // The reader must not destroy the source: its connection still carries the refusal.
      for await (const chunk of rest.iterator({ destroyOnReturn: false })) {
        size += (chunk as Buffer).length
        if (size > limitBytes) {
          this.options.onBodyTooLarge?.()
          return
        }
        if (!(await this.writeChunk(chunk as Buffer))) return
      }
      this.bodyWaits = false
      this.request.end()
    } catch {
      this.cancel()
    }
  }

  private async writeChunk (chunk: Buffer): Promise<boolean> {
    if (this.request.destroyed || this.response !== undefined) return false
    if (this.request.write(chunk)) return true
    this.bodyWaits = false
    const settled = new AbortController()
    const { signal } = settled
    await Promise.race([
      once(this.request, 'drain', { signal }), once(this.request, 'close', { signal }),
      once(this.request, 'response', { signal })
    ]).catch(() => {}).finally(() => { settled.abort() })
    this.bodyWaits = true
    return !this.request.destroyed && this.response === undefined
  }

  private watchSocket (socket: Socket): void {
    if (!socket.connecting) return this.startWatch(socket)
    const timer = this.startTimer(CONNECT_TIMEOUT_MS, () => { this.cancel('connect') })
    socket.once('connect', () => {
      clearTimeout(timer)
      this.startWatch(socket)
    })
  }

  private startWatch (socket: Socket): void {
    this.connected = true
    const { address, attemptId, progress } = this.options
    const before = socket.bytesRead + socket.bytesWritten
    this.watch = new ProgressWatch({
      ...progress,
      countBytes: () => socket.bytesRead + socket.bytesWritten - socket.writableLength - before,
      isHeldHere: () => this.isHeldHere(),
      probe: async () => await probeAddress({ address, attemptId }),
      onVerdict: (reason) => { this.cancel(reason) }
    })
  }

  private isHeldHere (): boolean {
    // The reader of the answer, or the source of the body, has stopped the transfer.
    return (this.response?.readableLength ?? 0) > 0 || this.isWaitingForBody
  }

  private takeResponse (response: IncomingMessage): void {
    this.response = response
    // Readers see the failure through the stream; without a listener it would end the process.
    response.on('error', () => {})
    response.once('close', () => {
      this.stopTimers()
      // An answer that came before the end of the request leaves the connection in an undefined state.
      if (!this.request.writableFinished) this.request.destroy()
    })
  }

  private startTimer (delayMs: number, run: () => void): NodeJS.Timeout {
    const timer = setTimeout(run, delayMs)
    this.timers.push(timer)
    return timer
  }

  private stopTimers (): void {
    this.watch?.stop()
    for (const timer of this.timers) clearTimeout(timer)
  }
}
