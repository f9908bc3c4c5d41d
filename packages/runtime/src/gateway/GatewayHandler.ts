import type { Forward, RuntimeEffect, Refuse } from '@lavenderturn/decisions'
import { type RequestId, type ResultCodeName, toId } from '@lavenderturn/types'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { EffectHandler } from '../EffectHandler'
import { Exchange, type ExchangeBody, type ExchangeOptions } from '../exchange/Exchange'
import { ExchangeAgent } from '../exchange/ExchangeAgent'
import { ExchangeError } from '../exchange/ExchangeError'
import { headers, selectHeaders } from '../headers'
import { HybridClock } from '../journal/HybridClock'
import { formatReference, parseLoad } from '../loadHeader'
import { readPrefix } from '../readPrefix'
import { abortAnswer, MAX_BUFFERED_ANSWER_BYTES, relayAnswer } from '../relayAnswer'
import type { Runtime } from '../Runtime'
import { sendProblem } from '../sendProblem'
import type { CallerExchange } from './CallerExchange'
import { isRelayable } from './isRelayable'

/** Maximum number of connections from a gateway to one other node. */
const CONNECTIONS_PER_NODE = 256

/** @public */
export interface GatewayHandlerOptions {
  readonly clock?: HybridClock
  readonly progress?: ExchangeOptions['progress']
}

/** Forwards requests to other nodes and answers callers. @public */
export class GatewayHandler extends EffectHandler {
  override readonly slices = ['gateway'] as const
  private readonly exchanges = new Map<RequestId, CallerExchange>()
  private readonly agent = new ExchangeAgent({ maxConnections: CONNECTIONS_PER_NODE })
  private readonly clock: HybridClock
  private readonly progress: ExchangeOptions['progress']

  constructor (private readonly runtime: Runtime, { clock, progress }: GatewayHandlerOptions = {}) {
    super()
    this.clock = clock ?? new HybridClock()
    // Other nodes report in probe answers whether they still handle an attempt, so no silence timeout is needed.
    this.progress = progress ?? { silenceTimeoutMs: Infinity }
  }

  /**
   * Registers a caller's exchange. Must be called before the arrival event is dispatched.
   *
   * @param exchange - request, response and body
   */
  addExchange (exchange: CallerExchange): void {
    this.exchanges.set(exchange.requestId, exchange)
    exchange.res.once('close', () => {
      // `relay` reports the end of an answer that has started, also when the caller closes the connection early.
      if (!exchange.relaying && this.exchanges.delete(exchange.requestId)) {
        this.runtime.dispatch({ slice: 'gateway', type: 'callerGone', requestId: exchange.requestId })
      }
      // The exchange is already removed, so effects of this event cannot cancel its attempts.
      for (const attempt of exchange.attempts.values()) attempt.cancel()
    })
  }

  /**
   * @param res - a response
   * @returns whether its request has been passed on to this handler and not been answered
   */
  hasExchange (res: ServerResponse): boolean {
    return [...this.exchanges.values()].some((exchange) => exchange.res === res)
  }

  override run (effect: RuntimeEffect): void {
    if (effect.slice !== 'gateway') return
    const exchange = this.exchanges.get(effect.requestId)
    if (exchange === undefined) return
    switch (effect.type) {
      case 'forward':
        void this.forward(exchange, effect)
        break
      case 'cancelForward':
        exchange.attempts.get(effect.attemptId)?.cancel()
        break
      case 'relay':
        void this.relay(exchange)
        break
      case 'refuse':
        this.refuse(exchange, effect)
    }
  }

  override async stop (): Promise<void> {
    this.agent.destroy()
  }

  private async forward (exchange: CallerExchange, effect: Forward): Promise<void> {
    const attempt = this.createAttempt(exchange, effect)
    exchange.attempts.set(effect.attemptId, attempt)
    try {
      await this.receiveAnswer(exchange, effect, await attempt.start())
    } catch (err) {
      const { reason, sent } = err instanceof ExchangeError ? err : attempt.createError(err)
      attempt.cancel()
      this.runtime.dispatch({
        slice: 'gateway',
        type: 'forwardFailed',
        requestId: effect.requestId,
        attemptId: effect.attemptId,
        reason,
        sent,
        replayable: !exchange.bodyConsumed
      })
    } finally {
      // An attempt whose answer is being relayed is kept, so that it can be cancelled when the caller disconnects.
      if (exchange.answer?.attemptId !== effect.attemptId) exchange.attempts.delete(effect.attemptId)
    }
  }

  private createAttempt (exchange: CallerExchange, effect: Forward): Exchange {
    const { req, secrets } = exchange
    const { requestId } = effect
    return new Exchange({
      agent: this.agent,
      address: effect.address,
      attemptId: effect.attemptId,
      method: req.method!,
      path: req.url!,
      headers: {
        ...selectHeaders(req.headers, secrets), ...createAttemptHeaders(effect), [headers.clock]: this.clock.stamp()
      },
      body: createExchangeBody(exchange, effect),
      expectContinue: !exchange.body.complete,
      progress: this.progress,
      onBodyStarted: () => { exchange.bodyConsumed = true },
      onBodyTooLarge: () => { this.runtime.dispatch({ slice: 'gateway', type: 'bodyTooLarge', requestId }) }
    })
  }

  private async receiveAnswer (exchange: CallerExchange, effect: Forward, response: IncomingMessage): Promise<void> {
    const { requestId, attemptId } = effect
    this.clock.receive(response.headers[headers.clock])
    if (response.headers[headers.attempt] !== attemptId) throw new ExchangeError({ reason: 'crossed', sent: true })
    if (response.headers[headers.result] !== undefined) return this.receiveRefusal(exchange, effect, response)
    if (!isRelayable(exchange.req.method, response)) throw new ExchangeError({ reason: 'truncated', sent: true })
    const prefix = await readPrefix({ body: response, limitBytes: MAX_BUFFERED_ANSWER_BYTES })
    exchange.answer = { attemptId, response, prefix }
    const load = parseLoad(response.headers[headers.load])
    this.runtime.dispatch({
      slice: 'gateway', type: 'forwardAnswered', requestId, attemptId, status: response.statusCode!, load
    })
  }

  private receiveRefusal (exchange: CallerExchange, effect: Forward, { headers: received }: IncomingMessage): void {
    const { requestId, attemptId } = effect
    const replayable = !exchange.bodyConsumed
    const load = parseLoad(received[headers.load])
    exchange.attempts.get(attemptId)?.discardAnswer()
    const crashedBoot = received[headers.crashedBoot]
    this.runtime.dispatch({
      slice: 'gateway',
      type: 'forwardRefused',
      requestId,
      attemptId,
      result: String(received[headers.result]) as ResultCodeName,
      crashedBoot: typeof crashedBoot === 'string' ? toId(crashedBoot) : undefined,
      replayable,
      load
    })
  }

  private async relay (exchange: CallerExchange): Promise<void> {
    const { requestId, req, res } = exchange
    const { response, prefix } = exchange.answer!
    exchange.relaying = true
    const complete = await relayAnswer({ req, res, response, prefix, extra: { [headers.request]: requestId } })
    this.exchanges.delete(requestId)
    this.runtime.dispatch({ slice: 'gateway', type: 'answerEnded', requestId, complete })
  }

  private refuse (exchange: CallerExchange, { requestId, result, run, detail }: Refuse): void {
    const { req, res } = exchange
    this.exchanges.delete(requestId)
    // `endRequest` cancels the attempts in a later effect, when the exchange is already removed.
    for (const attempt of exchange.attempts.values()) attempt.cancel()
    if (res.headersSent) abortAnswer(res)
    else sendProblem({ req, res, requestId, result, run, detail })
  }
}

function createAttemptHeaders (effect: Forward): Record<string, string> {
  return {
    [headers.request]: effect.requestId,
    [headers.attempt]: effect.attemptId,
    [headers.route]: effect.route,
    [headers.service]: effect.service,
    [headers.endpoint]: effect.endpoint,
    [headers.deadline]: String(Math.max(0, Math.round(effect.timeout))),
    [headers.fingerprint]: effect.fingerprint,
    ...(effect.team === undefined ? {} : { [headers.team]: effect.team }),
    ...(effect.reference === undefined ? {} : { [headers.reference]: formatReference(effect.reference) })
  }
}

function createExchangeBody ({ body, req }: CallerExchange, { bodyLimitBytes }: Forward): ExchangeBody | undefined {
  if (body.complete) {
    return body.bytes.length === 0 ? undefined : { prefix: body.bytes, lengthBytes: body.bytes.length }
  }
  const declared = req.headers['content-length']
  return {
    prefix: body.bytes,
    rest: req,
    lengthBytes: declared === undefined ? undefined : Number(declared),
    limitBytes: bodyLimitBytes
  }
}
