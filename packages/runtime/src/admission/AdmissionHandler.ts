import {
  describeLoad, type Dispatch, type FailWork, type LoadReport, type RuntimeEffect, type Reject, type WorkOutcome
} from '@lavenderturn/decisions'
import { type AttemptId, type BootId, resultCodes, type ResultCodeName, toId } from '@lavenderturn/types'
import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http'
import { EffectHandler } from '../EffectHandler'
import { endResponse } from '../endResponse'
import { Exchange, type ExchangeBody, type ExchangeOptions } from '../exchange/Exchange'
import { ExchangeAgent } from '../exchange/ExchangeAgent'
import { ExchangeError } from '../exchange/ExchangeError'
import type { AttemptState } from '../exchange/probeAddress'
import { isRelayable } from '../gateway/isRelayable'
import { headers, selectHeaders } from '../headers'
import { HybridClock } from '../journal/HybridClock'
import { formatLoad } from '../loadHeader'
import { type BodyPrefix, readPrefix } from '../readPrefix'
import { abortAnswer, MAX_BUFFERED_ANSWER_BYTES, relayAnswer } from '../relayAnswer'
import type { Runtime } from '../Runtime'
import type { ForwardExchange } from './ForwardExchange'

/** Servers that announce no keep-alive timeout close idle connections after 5 s or later (Node, Apache). */
const BACKEND_IDLE_TIMEOUT_MS = 4_000

/**
 * Time to wait for `100 Continue`; after that the body is sent, because servers may ignore the expectation. With 50 ms,
 * busy servers that were about to shed an upload received its body, and it could not be retried on another endpoint.
 */
const CONTINUE_TIMEOUT_MS = 1_000

/**
 * Fraction of the remaining deadline for which a backend server may be silent when it answers probes without reporting
 * the state of the attempt. A smaller fraction aborts requests that are only slow.
 */
const SILENT_DEADLINE_FRACTION = 0.75

/** @public */
export interface AdmissionHandlerOptions {
  readonly clock?: HybridClock
  readonly progress?: Partial<ExchangeOptions['progress']>
}

interface Answer {
  readonly response: IncomingMessage
  readonly prefix: BodyPrefix
}

/** Dispatches attempts to the backend servers on the same instance as this node. @public */
export class AdmissionHandler extends EffectHandler {
  override readonly slices = ['admission'] as const
  private readonly exchanges = new Map<AttemptId, ForwardExchange>()
  private readonly agent = new ExchangeAgent({ idleTimeoutMs: BACKEND_IDLE_TIMEOUT_MS })
  private readonly clock: HybridClock
  private readonly progress: Partial<ExchangeOptions['progress']>

  constructor (private readonly runtime: Runtime, { clock, progress = {} }: AdmissionHandlerOptions = {}) {
    super()
    this.clock = clock ?? new HybridClock()
    this.progress = progress
  }

  /**
   * Registers a gateway's attempt. Must be called before the arrival event is dispatched.
   *
   * @param attemptId - the attempt
   * @param exchange - request and response
   */
  addExchange (attemptId: AttemptId, exchange: ForwardExchange): void {
    this.clock.receive(exchange.req.headers[headers.clock])
    this.exchanges.set(attemptId, exchange)
    exchange.res.once('close', () => {
      const isCancelled = !exchange.res.writableFinished
      this.exchanges.delete(attemptId)
      if (!isCancelled) return
      this.runtime.dispatch({ slice: 'admission', type: 'workCancelled', attemptId })
      // The exchange is already removed, so effects of this event cannot cancel it.
      exchange.backend?.cancel()
    })
  }

  /**
   * @param res - a response
   * @returns whether it is that of an attempt which is not complete
   */
  hasExchange (res: ServerResponse): boolean {
    return [...this.exchanges.values()].some((exchange) => exchange.res === res)
  }

  /**
   * Returns the state of an attempt for the probes of its gateway. `stalled` means that this node waits to receive or
   * to send bytes: if the gateway waits as well, the connection between them is broken.
   *
   * @param attemptId - an attempt
   * @returns its state on this node
   */
  getAttemptState (attemptId: AttemptId): AttemptState {
    const exchange = this.exchanges.get(attemptId)
    if (exchange === undefined) return 'closed'
    return exchange.backend?.isWaitingForBody === true || exchange.res.writableNeedDrain ? 'stalled' : 'open'
  }

  override run (effect: RuntimeEffect): void {
    if (effect.slice !== 'admission') return
    const exchange = this.exchanges.get(effect.attemptId)
    switch (effect.type) {
      case 'dispatch':
        void this.dispatch(effect, exchange)
        break
      case 'reject':
        if (exchange !== undefined) this.reject(exchange, effect)
        break
      case 'failWork':
        if (exchange !== undefined) this.fail(exchange, effect)
        break
      case 'cancelDispatch':
        exchange?.backend?.cancel()
    }
  }

  override async stop (): Promise<void> {
    this.agent.destroy()
  }

  private async dispatch (effect: Dispatch, exchange: ForwardExchange | undefined): Promise<void> {
    const outcome = exchange === undefined || exchange.res.destroyed
      ? { kind: 'failed', reason: 'cancelled', sent: false } as const
      : await this.exchangeWithBackend(effect, exchange)
    // The reducer answers a failure with the effect `reject` or `failWork`.
    this.runtime.dispatch({ slice: 'admission', type: 'workEnded', attemptId: effect.attemptId, outcome })
  }

  private async exchangeWithBackend (effect: Dispatch, exchange: ForwardExchange): Promise<WorkOutcome> {
    const backend = this.createBackendExchange(effect, exchange)
    exchange.backend = backend
    const timer = setTimeout(() => { backend.cancel('timeout') }, Math.max(0, effect.timeout))
    try {
      const answer = await this.readAnswer(backend, effect.attemptId, exchange)
      // The deadline also ends answers that are being relayed: a faulty server may send without end.
      return await this.relay(effect, exchange, backend, answer)
    } catch (err) {
      const failure = err instanceof ExchangeError ? err : backend.createError(err)
      backend.cancel()
      const { reason, sent } = failure
      return { kind: 'failed', reason, sent }
    } finally {
      clearTimeout(timer)
    }
  }

  private createBackendExchange (effect: Dispatch, exchange: ForwardExchange): Exchange {
    const { req, res } = exchange
    const body = createExchangeBody(req)
    return new Exchange({
      agent: this.agent,
      address: effect.address,
      attemptId: effect.attemptId,
      method: req.method!,
      path: req.url!,
      headers: {
        ...selectHeaders(req.headers),
        [headers.request]: exchange.requestId,
        [headers.attempt]: effect.attemptId,
        [headers.deadline]: String(Math.max(0, Math.round(effect.timeout)))
      },
      body,
      expectContinue: exchange.expectsContinue && body !== undefined,
      continueTimeoutMs: CONTINUE_TIMEOUT_MS,
      progress: { silenceTimeoutMs: effect.silentAfter ?? effect.timeout * SILENT_DEADLINE_FRACTION, ...this.progress },
      // Lets the gateway send the body. From here on the request cannot be retried on another endpoint.
      onBodyStarted: () => { if (exchange.expectsContinue && !res.destroyed) res.writeContinue() }
    })
  }

  private async readAnswer (backend: Exchange, attemptId: AttemptId, { req }: ForwardExchange): Promise<Answer> {
    const response = await backend.start()
    const echoedId = response.headers[headers.attempt]
    // Backend servers need not echo the attempt id, but an answer to another attempt is never relayed.
    if (echoedId !== undefined && echoedId !== attemptId) throw new ExchangeError({ reason: 'crossed', sent: true })
    if (!isRelayable(req.method, response)) throw new ExchangeError({ reason: 'truncated', sent: true })
    return { response, prefix: await readPrefix({ body: response, limitBytes: MAX_BUFFERED_ANSWER_BYTES }) }
  }

  private async relay (
    { attemptId, endpoint }: Dispatch,
    { req, res }: ForwardExchange,
    backend: Exchange,
    { response, prefix }: Answer
  ): Promise<WorkOutcome> {
    const status = response.statusCode!
    if (status === 503 && response.headers[headers.notRun] === 'true') {
      backend.discardAnswer()
      return { kind: 'shed' }
    }
    const load = this.runtime.query((state) => describeLoad(state, endpoint, attemptId))
    const extra = this.createAnswerHeaders(attemptId, load)
    const complete = await relayAnswer({ req, res, response, prefix, extra })
    if (!complete) throw backend.createError()
    return { kind: 'answered', status, bootId: readBootId(response) }
  }

  private reject (exchange: ForwardExchange, { attemptId, result, load }: Reject): void {
    this.answerWithResult(attemptId, exchange, { result, load })
  }

  private fail (exchange: ForwardExchange, { attemptId, result, crashedBoot, load }: FailWork): void {
    const extra = crashedBoot === undefined ? {} : { [headers.crashedBoot]: crashedBoot }
    this.answerWithResult(attemptId, exchange, { result, load, extra })
  }

  private answerWithResult (
    attemptId: AttemptId,
    { req, res }: ForwardExchange,
    { result, load, extra = {} }: ResultAnswer
  ): void {
    // An answer that has started cannot be replaced by a result; aborting it shows the caller that it is incomplete.
    if (res.headersSent) abortAnswer(res)
    if (res.destroyed) return
    // The unread body must not be parsed as the next request on the connection.
    if (!req.complete) res.shouldKeepAlive = false
    res.writeHead(resultCodes[result].status, {
      ...this.createAnswerHeaders(attemptId, load), [headers.result]: result, 'content-length': '0', ...extra
    })
    endResponse({ req, res })
  }

  private createAnswerHeaders (attemptId: AttemptId, load: LoadReport | undefined): OutgoingHttpHeaders {
    return {
      [headers.attempt]: attemptId,
      [headers.clock]: this.clock.stamp(),
      ...(load === undefined ? {} : { [headers.load]: formatLoad(load) })
    }
  }
}

interface ResultAnswer {
  readonly result: ResultCodeName
  readonly load?: LoadReport
  readonly extra?: OutgoingHttpHeaders
}

function createExchangeBody (req: IncomingMessage): ExchangeBody | undefined {
  const declared = req.headers['content-length']
  if (declared === undefined && req.headers['transfer-encoding'] === undefined) return undefined
  if (declared === '0') return undefined
  return { rest: req, lengthBytes: declared === undefined ? undefined : Number(declared) }
}

function readBootId ({ headers: received }: IncomingMessage): BootId | undefined {
  const value = received[headers.bootId]
  return typeof value === 'string' ? toId(value) : undefined
}
