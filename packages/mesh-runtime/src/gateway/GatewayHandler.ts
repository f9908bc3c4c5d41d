import type { Forward, MeshEffect, MeshIdentity, ReservationId } from '@lavenderturn/mesh'
import { ExchangeAgent } from '@lavenderturn/runtime'
import type { Address, Millis, RequestId, ResultCodeName } from '@lavenderturn/types'
import type { ConsolaInstance } from 'consola'
import type { AdmissionHandler } from '../admission/AdmissionHandler'
import { type AttemptReply, ReplyTarget } from '../admission/AttemptReply'
import { ATTEMPT_RESPONSE_PATH } from '../admission/createForwardServer'
import { describeError } from '../describeError'
import { forwardHeaders } from '../forwardHeaders'
import type { MemoryAccount } from '../memory/MemoryAccount'
import { MeshEffectHandler, type MeshRuntime } from '../MeshRuntime'
import type { RequestProtocol } from '../protocol/RequestProtocol'
import { writeResponse } from '../writeResponse'
import type { CallerExchange } from './CallerExchange'
import { PeerExchange, type PeerExchangeResult } from './PeerExchange'

/** Idle connections to other nodes are closed after this time, because a device on the path may have dropped them. */
const IDLE_CONNECTION_TIMEOUT_MS = 10_000

/** @internal */
export interface GatewayHandlerOptions {
  readonly runtime: MeshRuntime
  readonly protocol: RequestProtocol
  readonly identity: MeshIdentity
  /** Receives requests for the backend server of this instance directly, without a connection. */
  readonly admission: AdmissionHandler
  readonly account: MemoryAccount
  readonly log: ConsolaInstance
}

/** Forwards requests to other nodes and responds to callers. @internal */
export class GatewayHandler extends MeshEffectHandler {
  override readonly slices = ['gateway'] as const
  private readonly runtime: MeshRuntime
  private readonly protocol: RequestProtocol
  private readonly identity: MeshIdentity
  private readonly admission: AdmissionHandler
  private readonly account: MemoryAccount
  private readonly log: ConsolaInstance
  private readonly exchanges = new Map<RequestId, CallerExchange>()
  private readonly agent = new ExchangeAgent({ idleTimeoutMs: IDLE_CONNECTION_TIMEOUT_MS })

  constructor ({ runtime, protocol, identity, admission, account, log }: GatewayHandlerOptions) {
    super()
    this.runtime = runtime
    this.protocol = protocol
    this.identity = identity
    this.admission = admission
    this.account = account
    this.log = log
  }

  /**
   * Registers a caller's exchange; must be called before the arrival of its request is dispatched.
   *
   * @param exchange - request and response
   */
  registerExchange (exchange: CallerExchange): void {
    const { requestId, res } = exchange
    this.exchanges.set(requestId, exchange)
    res.once('close', () => {
      if (!this.exchanges.delete(requestId)) return
      this.runtime.dispatch({ slice: 'gateway', type: 'callerGone', requestId })
      for (const attempt of exchange.attempts.values()) attempt.cancel()
      discardAnswers(exchange)
    })
  }

  override run (effect: MeshEffect): void {
    if (effect.slice !== 'gateway') return
    const exchange = this.exchanges.get(effect.requestId)
    if (exchange === undefined) return
    switch (effect.type) {
      case 'forward':
        this.forward(exchange, effect)
        break
      case 'fetchAnswer':
        this.fetchAnswer(exchange, effect)
        break
      case 'dropAttempt':
        exchange.attempts.get(effect.reservation)?.cancel()
        exchange.attempts.delete(effect.reservation)
        break
      case 'relay':
        this.relay(exchange, effect.reservation)
        this.exchanges.delete(effect.requestId)
        break
      case 'refuse':
        discardAnswers(exchange)
        this.refuse(exchange, effect.result, effect.retryAfter)
        this.exchanges.delete(effect.requestId)
    }
  }

  /** Ends the request with an unknown outcome, since a backend server may have run it. */
  override handleError (effect: MeshEffect, err: unknown): void {
    if (effect.slice !== 'gateway') throw err
    const exchange = this.exchanges.get(effect.requestId)
    if (exchange === undefined) throw err
    const { requestId, callerRequestId: request, res } = exchange
    this.log.error('request failed in this node', { request, effect: effect.type, error: describeError(err) })
    this.exchanges.delete(requestId)
    for (const attempt of exchange.attempts.values()) attempt.cancel()
    discardAnswers(exchange)
    // Has no effect if the reducer has already ended the request.
    this.runtime.dispatch({ slice: 'gateway', type: 'callerGone', requestId })
    if (res.headersSent) res.destroy()
    else this.refuse(exchange, 'outcomeUnknown')
  }

  override stop (): void {
    this.agent.destroy()
  }

  private refuse (
    { res, callerRequestId: requestId }: CallerExchange,
    result: ResultCodeName,
    retryAfter?: Millis
  ): void {
    writeResponse(res, this.protocol.composeRefusal(result, { requestId, retryAfter }))
  }

  private relay (exchange: CallerExchange, reservation: ReservationId): void {
    const { callerRequestId, res, responses } = exchange
    const { status, headers, body } = responses.get(reservation)!
    if (!body.canSend) {
      // It was given up while another attempt was made, because memory was short.
      discardAnswers(exchange)
      this.refuse(exchange, 'outcomeUnknown')
      return
    }
    writeResponse(res, { status, headers, body })
    // A body that is being sent is freed afterwards.
    discardAnswers(exchange)
    if (body.isWhole) return
    void body.whenEnded.then((end) => {
      if (end === 'broken') this.runtime.dispatch({ slice: 'gateway', type: 'responseBroken', callerRequestId })
    })
  }

  private forward (exchange: CallerExchange, effect: Forward): void {
    const { reservation, route, team, timeout } = effect
    const { head, body, callerRequestId, fingerprint, requestId } = exchange
    if (effect.address === this.identity.forwardAddress) {
      const target = new LocalReplyTarget((reply) => { this.handleReply({ requestId, reservation, reply }) })
      const callerService = this.identity.service
      this.admission.acceptRequest(
        { reservation, route, team, callerService, callerRequestId, fingerprint, timeout, head, body }, target
      )
      return
    }
    const headers = [
      ...head.headers,
      [forwardHeaders.reservation, reservation],
      [forwardHeaders.route, route],
      [forwardHeaders.callerService, this.identity.service],
      [forwardHeaders.callerRequest, encodeURIComponent(callerRequestId)],
      [forwardHeaders.fingerprint, fingerprint],
      [forwardHeaders.timeout, String(Math.floor(timeout))],
      ...team === undefined ? [] : [[forwardHeaders.team, encodeURIComponent(team)]]
    ] as ReadonlyArray<readonly [string, string]>
    this.startExchange(exchange, reservation, new PeerExchange({
      agent: this.agent,
      account: this.account,
      callerRequestId: exchange.callerRequestId,
      address: effect.address,
      method: head.method,
      target: head.target,
      headers,
      body
    }))
  }

  private fetchAnswer (
    exchange: CallerExchange,
    { reservation, address }: { readonly reservation: ReservationId, readonly address: Address }
  ): void {
    exchange.attempts.get(reservation)?.cancel()
    this.startExchange(exchange, reservation, new PeerExchange({
      agent: this.agent,
      account: this.account,
      callerRequestId: exchange.callerRequestId,
      address,
      method: 'GET',
      target: ATTEMPT_RESPONSE_PATH,
      headers: [[forwardHeaders.reservation, reservation]]
    }))
  }

  private startExchange (exchange: CallerExchange, reservation: ReservationId, attempt: PeerExchange): void {
    exchange.attempts.set(reservation, attempt)
    void attempt.run().then((result) => {
      if (exchange.attempts.get(reservation) !== attempt) {
        if (result.kind === 'replied') result.answer.body.discard()
        return
      }
      exchange.attempts.delete(reservation)
      this.handleExchangeResult(exchange.requestId, reservation, result)
    })
  }

  private handleExchangeResult (requestId: RequestId, reservation: ReservationId, result: PeerExchangeResult): void {
    switch (result.kind) {
      case 'replied':
        this.handleReply({ requestId, reservation, reply: result })
        break
      case 'lost':
        this.runtime.dispatch({ slice: 'gateway', type: 'attemptLost', requestId, reservation, sent: result.sent })
        break
      case 'cancelled':
    }
  }

  private handleReply ({ requestId, reservation, reply }: {
    readonly requestId: RequestId
    readonly reservation: ReservationId
    readonly reply: AttemptReply
  }): void {
    const exchange = this.exchanges.get(requestId)
    if (exchange === undefined) {
      reply.answer?.body.discard()
      return
    }
    if (reply.answer !== undefined) exchange.responses.set(reservation, reply.answer)
    this.runtime.dispatch({ slice: 'gateway', type: 'attemptEnded', requestId, reservation, result: reply.result })
  }
}

/** Frees the responses that are not relayed to the caller. */
function discardAnswers ({ responses }: CallerExchange): void {
  for (const { body } of responses.values()) body.discard()
  responses.clear()
}

/** Passes the reply to this node's own gateway. */
class LocalReplyTarget extends ReplyTarget {
  override readonly ownsAnswer = true

  constructor (private readonly onReply: (reply: AttemptReply) => void) {
    super()
  }

  override send (reply: AttemptReply): void {
    this.onReply(reply)
  }
}
