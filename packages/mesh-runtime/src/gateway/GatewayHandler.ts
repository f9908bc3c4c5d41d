import type { Forward, MeshEffect, MeshIdentity, ReservationId } from '@lavenderturn/mesh'
import { ExchangeAgent } from '@lavenderturn/runtime'
import type { Address, RequestId } from '@lavenderturn/types'
import type { AdmissionHandler } from '../admission/AdmissionHandler'
import { type AttemptReply, ReplyTarget } from '../admission/AttemptReply'
import { ANSWER_PATH } from '../admission/createForwardServer'
import { forwardHeaders } from '../forwardHeaders'
import { MeshEffectHandler, type MeshRuntime } from '../MeshRuntime'
import type { RequestProtocol } from '../protocol/RequestProtocol'
import { writeAnswer } from '../writeAnswer'
import type { CallerExchange } from './CallerExchange'
import { PeerExchange, type PeerExchangeResult } from './PeerExchange'

/** Idle connections to other nodes are closed after this time: something in between may have forgotten them. */
const IDLE_CONNECTION_MS = 10_000

/** @internal */
export interface GatewayHandlerOptions {
  readonly runtime: MeshRuntime
  readonly protocol: RequestProtocol
  readonly identity: MeshIdentity
  /** Takes requests for the backend server of this instance without a connection. */
  readonly admission: AdmissionHandler
}

/** Forwards requests to other nodes and answers callers. @internal */
export class GatewayHandler extends MeshEffectHandler {
  override readonly slices = ['gateway'] as const
  private readonly runtime: MeshRuntime
  private readonly protocol: RequestProtocol
  private readonly identity: MeshIdentity
  private readonly admission: AdmissionHandler
  private readonly exchanges = new Map<RequestId, CallerExchange>()
  private readonly agent = new ExchangeAgent({ idleTimeoutMs: IDLE_CONNECTION_MS })

  constructor ({ runtime, protocol, identity, admission }: GatewayHandlerOptions) {
    super()
    this.runtime = runtime
    this.protocol = protocol
    this.identity = identity
    this.admission = admission
  }

  /**
   * Takes over a caller's exchange before its arrival is reduced.
   *
   * @param exchange - request and response
   */
  open (exchange: CallerExchange): void {
    const { requestId, res } = exchange
    this.exchanges.set(requestId, exchange)
    res.once('close', () => {
      if (!this.exchanges.delete(requestId)) return
      this.runtime.dispatch({ slice: 'gateway', type: 'callerGone', requestId })
      for (const attempt of exchange.attempts.values()) attempt.drop()
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
        exchange.attempts.get(effect.reservation)?.drop()
        exchange.attempts.delete(effect.reservation)
        break
      case 'relay':
        this.exchanges.delete(effect.requestId)
        writeAnswer(exchange.res, exchange.answers.get(effect.reservation)!)
        break
      case 'refuse': {
        this.exchanges.delete(effect.requestId)
        const { callerRequestId: requestId } = exchange
        const answer = this.protocol.composeRefusal(effect.result, { requestId, retryAfter: effect.retryAfter })
        writeAnswer(exchange.res, answer)
      }
    }
  }

  override stop (): void {
    this.agent.destroy()
  }

  private forward (exchange: CallerExchange, effect: Forward): void {
    const { reservation, route, team, timeout } = effect
    const { head, body, callerRequestId, fingerprint, requestId } = exchange
    if (effect.address === this.identity.forwardAddress) {
      const target = new LocalTarget((reply) => { this.takeReply({ requestId, reservation, reply }) })
      const callerService = this.identity.service
      this.admission.accept(
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
    this.start(exchange, reservation, new PeerExchange({
      agent: this.agent, address: effect.address, method: head.method, target: head.target, headers, body
    }))
  }

  private fetchAnswer (
    exchange: CallerExchange,
    { reservation, address }: { readonly reservation: ReservationId, readonly address: Address }
  ): void {
    exchange.attempts.get(reservation)?.drop()
    this.start(exchange, reservation, new PeerExchange({
      agent: this.agent,
      address,
      method: 'GET',
      target: ANSWER_PATH,
      headers: [[forwardHeaders.reservation, reservation]]
    }))
  }

  private start (exchange: CallerExchange, reservation: ReservationId, attempt: PeerExchange): void {
    exchange.attempts.set(reservation, attempt)
    void attempt.run().then((result) => {
      if (exchange.attempts.get(reservation) !== attempt) return
      exchange.attempts.delete(reservation)
      this.takeResult(exchange.requestId, reservation, result)
    })
  }

  private takeResult (requestId: RequestId, reservation: ReservationId, result: PeerExchangeResult): void {
    switch (result.kind) {
      case 'replied':
        this.takeReply({ requestId, reservation, reply: result })
        break
      case 'lost':
        this.runtime.dispatch({ slice: 'gateway', type: 'attemptLost', requestId, reservation, sent: result.sent })
        break
      case 'dropped':
    }
  }

  private takeReply ({ requestId, reservation, reply }: {
    readonly requestId: RequestId
    readonly reservation: ReservationId
    readonly reply: AttemptReply
  }): void {
    const exchange = this.exchanges.get(requestId)
    if (exchange === undefined) return
    if (reply.answer !== undefined) exchange.answers.set(reservation, reply.answer)
    this.runtime.dispatch({ slice: 'gateway', type: 'attemptEnded', requestId, reservation, result: reply.result })
  }
}

/** This node's own gateway. */
class LocalTarget extends ReplyTarget {
  constructor (private readonly take: (reply: AttemptReply) => void) {
    super()
  }

  override send (reply: AttemptReply): void {
    this.take(reply)
  }
}
