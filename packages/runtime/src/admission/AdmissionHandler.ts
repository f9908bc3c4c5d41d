import type { Dispatch, OutwardEffect, ServerProcess, WorkOutcome } from '@lavenderturn/decisions'
import { type AttemptId, type BootId, type EndpointId, resultCodes, type ResultName, toId } from '@lavenderturn/types'
import type { IncomingMessage, OutgoingHttpHeaders } from 'node:http'
import { EffectHandler } from '../EffectHandler'
import { endResponse } from '../endResponse'
import { Exchange, type ExchangeBody, type ExchangeOptions } from '../exchange/Exchange'
import { ExchangeAgent } from '../exchange/ExchangeAgent'
import { ExchangeError } from '../exchange/ExchangeError'
import { type AttemptState, probeAddress } from '../exchange/probeAddress'
import { isRelayable } from '../gateway/isRelayable'
import { headers, selectHeaders } from '../headers'
import { HybridClock } from '../journal/HybridClock'
import { formatLoad } from '../loadHeader'
import { type BodyPrefix, readPrefix } from '../readPrefix'
import { ANSWER_BUFFER_BYTES, breakOff, relayAnswer } from '../relayAnswer'
import type { Runtime } from '../Runtime'
import { describeLoad } from './describeLoad'
import type { ForwardExchange } from './ForwardExchange'

/** Servers that announce no keep-alive time close idle connections after 5 s at the earliest (Node, Apache). */
const BACKEND_IDLE_MS = 4_000

/**
 * How long a backend server may take to answer `expect: 100-continue`; one that ignores it gets the body then. With
 * 50 ms, busy servers that were about to shed an upload got its body, and it could not go to another endpoint.
 */
const CONTINUE_TIMEOUT_MS = 1_000

/**
 * Share of the time left to the deadline that a backend server may be silent, when it answers probes but does not
 * tell of the attempt. A smaller share cuts requests that are merely slow.
 */
const SILENT_SHARE = 0.75

/** Time for the probe that finds out whether the process of a backend server died. */
const PROCESS_PROBE_MS = 250

/** @public */
export interface AdmissionHandlerOptions {
  readonly clock?: HybridClock
  readonly progress?: Partial<ExchangeOptions['progress']>
}

interface Answer {
  readonly response: IncomingMessage
  readonly prefix: BodyPrefix
}

/** Dispatches attempts to the backend servers beside this node. @public */
export class AdmissionHandler extends EffectHandler {
  override readonly slices = ['admission'] as const
  private readonly exchanges = new Map<AttemptId, ForwardExchange>()
  private readonly agent = new ExchangeAgent({ idleTimeoutMs: BACKEND_IDLE_MS })
  private readonly clock: HybridClock
  private readonly progress: Partial<ExchangeOptions['progress']>

  constructor (private readonly runtime: Runtime, { clock, progress = {} }: AdmissionHandlerOptions = {}) {
    super()
    this.clock = clock ?? new HybridClock()
    this.progress = progress
  }

  /**
   * Takes over a gateway's attempt before its arrival is reduced.
   *
   * @param attemptId - the attempt
   * @param exchange - request and response
   */
  open (attemptId: AttemptId, exchange: ForwardExchange): void {
    this.clock.receive(exchange.req.headers[headers.clock])
    this.exchanges.set(attemptId, exchange)
    exchange.res.once('close', () => {
      const isCancelled = !exchange.res.writableFinished
      this.exchanges.delete(attemptId)
      if (!isCancelled) return
      this.runtime.dispatch({ slice: 'admission', type: 'workCancelled', attemptId })
      // The effect of this event finds no exchange any more.
      exchange.backend?.cancel()
    })
  }

  /**
   * Tells a gateway how its attempt stands. `stalled` means that this side waits for bytes, or to get rid of bytes: a
   * gateway that waits too knows that the connection between them is silent.
   *
   * @param attemptId - an attempt
   * @returns its state here
   */
  describeAttempt (attemptId: AttemptId): AttemptState {
    const exchange = this.exchanges.get(attemptId)
    if (exchange === undefined) return 'closed'
    return exchange.backend?.isWaitingForBody === true || exchange.res.writableNeedDrain ? 'stalled' : 'open'
  }

  override run (effect: OutwardEffect): void {
    if (effect.slice !== 'admission') return
    const exchange = this.exchanges.get(effect.attemptId)
    switch (effect.type) {
      case 'dispatch':
        void this.dispatch(effect, exchange)
        break
      case 'reject':
        if (exchange !== undefined) this.answerWithResult(effect.attemptId, exchange, { result: effect.result })
        break
      case 'cancelDispatch':
        exchange?.backend?.cancel()
    }
  }

  override async stop (): Promise<void> {
    this.agent.destroy()
  }

  private async dispatch (effect: Dispatch, exchange: ForwardExchange | undefined): Promise<void> {
    const { attemptId, endpoint } = effect
    const outcome = exchange === undefined || exchange.res.destroyed
      ? { kind: 'failed', reason: 'cancelled', sent: false } as const
      : await this.runBackend(effect, exchange)
    // The load that goes with a refusal shows the slot as free.
    this.runtime.dispatch({ slice: 'admission', type: 'workEnded', attemptId, outcome })
    if (exchange !== undefined && outcome.kind !== 'answered') {
      this.answerFailure(attemptId, exchange, outcome, endpoint)
    }
  }

  private async runBackend (effect: Dispatch, exchange: ForwardExchange): Promise<WorkOutcome> {
    const backend = this.createBackendExchange(effect, exchange)
    exchange.backend = backend
    const timer = setTimeout(() => { backend.cancel('timeout') }, Math.max(0, effect.timeout))
    try {
      const answer = await this.readAnswer(backend, effect.attemptId, exchange)
      clearTimeout(timer)
      return await this.relay(effect, exchange, backend, answer)
    } catch (err) {
      const failure = err instanceof ExchangeError ? err : backend.describeFailure(err)
      backend.cancel()
      return await this.describeOutcome(effect, failure)
    } finally {
      clearTimeout(timer)
    }
  }

  private createBackendExchange (effect: Dispatch, exchange: ForwardExchange): Exchange {
    const { req, res } = exchange
    const body = describeBody(req)
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
      progress: { silentAfterMs: effect.silentAfter ?? effect.timeout * SILENT_SHARE, ...this.progress },
      // The gateway may send the body only now: from here on it cannot go to another endpoint.
      onBodyStarted: () => { if (exchange.expectsContinue && !res.destroyed) res.writeContinue() }
    })
  }

  private async readAnswer (backend: Exchange, attemptId: AttemptId, { req }: ForwardExchange): Promise<Answer> {
    const response = await backend.start()
    const echo = response.headers[headers.attempt]
    // Backend servers need not echo the attempt, but an answer of another attempt is never passed on.
    if (echo !== undefined && echo !== attemptId) throw new ExchangeError({ reason: 'crossed', sent: true })
    if (!isRelayable(req.method, response)) throw new ExchangeError({ reason: 'truncated', sent: true })
    return { response, prefix: await readPrefix({ body: response, limitBytes: ANSWER_BUFFER_BYTES }) }
  }

  private async relay (
    { attemptId, endpoint }: Dispatch,
    { req, res }: ForwardExchange,
    backend: Exchange,
    { response, prefix }: Answer
  ): Promise<WorkOutcome> {
    const status = response.statusCode!
    if (status === 503 && response.headers[headers.notRun] === 'true') {
      backend.finish()
      return { kind: 'shed' }
    }
    const extra = this.describeAnswer(attemptId, endpoint)
    const complete = await relayAnswer({ req, res, response, prefix, extra })
    if (!complete) throw backend.describeFailure()
    return { kind: 'answered', status, bootId: readBootId(response) }
  }

  private async describeOutcome (
    { address, endpoint, attemptId }: Dispatch,
    { reason, sent }: ExchangeError
  ): Promise<WorkOutcome> {
    if (reason !== 'reset' && reason !== 'truncated') return { kind: 'failed', reason, sent }
    const { kind, bootId } = await probeAddress({ address, attemptId, timeoutMs: PROCESS_PROBE_MS })
    const known = this.runtime.query(({ admission }) => admission.servers.get(endpoint)?.bootId)
    return { kind: 'failed', reason, sent, process: judgeProcess({ kind, bootId, known }), bootId }
  }

  private answerFailure (
    attemptId: AttemptId,
    exchange: ForwardExchange,
    outcome: Exclude<WorkOutcome, { kind: 'answered' }>,
    endpoint: EndpointId
  ): void {
    const { res } = exchange
    if (res.headersSent) breakOff(res)
    if (res.destroyed) return
    if (outcome.kind === 'shed' || !outcome.sent) {
      this.answerWithResult(attemptId, exchange, { result: 'noEndpoint', endpoint })
      return
    }
    const extra: OutgoingHttpHeaders = { [headers.reason]: outcome.reason }
    if (outcome.process !== undefined) extra[headers.process] = outcome.process
    this.answerWithResult(attemptId, exchange, { result: 'outcomeUnknown', endpoint, extra })
  }

  private answerWithResult (
    attemptId: AttemptId,
    { req, res }: ForwardExchange,
    { result, endpoint, extra = {} }: ResultAnswer
  ): void {
    // A body that was refused must not be read as the next request of the connection.
    if (!req.complete) res.shouldKeepAlive = false
    res.writeHead(resultCodes[result].status, {
      ...this.describeAnswer(attemptId, endpoint), [headers.result]: result, 'content-length': '0', ...extra
    })
    endResponse({ req, res })
  }

  private describeAnswer (attemptId: AttemptId, endpoint: EndpointId | undefined): OutgoingHttpHeaders {
    const described: OutgoingHttpHeaders = { [headers.attempt]: attemptId, [headers.clock]: this.clock.stamp() }
    if (endpoint !== undefined) {
      described[headers.load] = this.runtime.query((state) => formatLoad(describeLoad(state, endpoint)))
    }
    return described
  }
}

interface ResultAnswer {
  readonly result: ResultName
  readonly endpoint?: EndpointId
  readonly extra?: OutgoingHttpHeaders
}

function describeBody (req: IncomingMessage): ExchangeBody | undefined {
  const declared = req.headers['content-length']
  if (declared === undefined && req.headers['transfer-encoding'] === undefined) return undefined
  if (declared === '0') return undefined
  return { rest: req, lengthBytes: declared === undefined ? undefined : Number(declared) }
}

function readBootId ({ headers: received }: IncomingMessage): BootId | undefined {
  const value = received[headers.bootId]
  return typeof value === 'string' ? toId(value) : undefined
}

interface ProcessSigns {
  readonly kind: string
  /** Boot id of the process that answers now. */
  readonly bootId?: BootId
  /** Boot id that was announced before the failure. */
  readonly known?: BootId
}

function judgeProcess ({ kind, bootId, known }: ProcessSigns): ServerProcess {
  if (kind === 'refused') return 'died'
  if (bootId === undefined || known === undefined) return 'unknown'
  return bootId === known ? 'alive' : 'died'
}
