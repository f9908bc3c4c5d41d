import type { Dispatch, MeshEffect, ReservationId, WorkOutcome } from '@lavenderturn/mesh'
import { BodyBuffer, ExchangeAgent } from '@lavenderturn/runtime'
import type { ConsolaInstance } from 'consola'
import { MeshEffectHandler, type MeshRuntime } from '../MeshRuntime'
import type { MemoryAccount } from '../memory/MemoryAccount'
import type { ResponseBody } from '../body/ResponseBody'
import { describeError } from '../describeError'
import type { RequestProtocol } from '../protocol/RequestProtocol'
import type { AttemptReply, ReplyTarget } from './AttemptReply'
import { BackendExchange } from './BackendExchange'
import type { ForwardedRequest } from './ForwardedRequest'

/** Well below the idle timeout of backend servers, so that this side closes idle connections first. */
const IDLE_CONNECTION_TIMEOUT_MS = 4_000

/** The backend server responds at its deadline by itself; the exchange is aborted this much later. */
const DEADLINE_MARGIN_MS = 150

/** @internal */
export interface AdmissionHandlerOptions {
  readonly runtime: MeshRuntime
  readonly protocol: RequestProtocol
  readonly account: MemoryAccount
  readonly log: ConsolaInstance
}

interface Attempt {
  /** Without its body once the request has been run. */
  request: Omit<ForwardedRequest, 'body'> & Partial<Pick<ForwardedRequest, 'body'>>
  /** Destination of the reply; absent while the connection to the gateway is broken. */
  replyTarget?: ReplyTarget
  exchange?: BackendExchange
  reply?: AttemptReply
}

/** Runs forwarded requests on the backend server and keeps each reply until its gateway has received it. @internal */
export class AdmissionHandler extends MeshEffectHandler {
  override readonly slices = ['admission'] as const
  private readonly runtime: MeshRuntime
  private readonly protocol: RequestProtocol
  private readonly attempts = new Map<ReservationId, Attempt>()
  private readonly agent: ExchangeAgent
  private readonly account: MemoryAccount
  private readonly log: ConsolaInstance

  constructor ({ runtime, protocol, account, log }: AdmissionHandlerOptions) {
    super()
    this.runtime = runtime
    this.protocol = protocol
    this.account = account
    this.log = log
    this.agent = new ExchangeAgent({
      idleTimeoutMs: IDLE_CONNECTION_TIMEOUT_MS,
      onIdleConnectionClosed: () => { runtime.dispatch({ slice: 'admission', type: 'connectionLost' }) }
    })
  }

  /**
   * Accepts a forwarded request whose body has been received completely.
   *
   * @param request - the request
   * @param target - destination of the reply
   */
  acceptRequest (request: ForwardedRequest, target: ReplyTarget): void {
    const { reservation, callerRequestId, route, fingerprint, timeout } = request
    // A reservation is valid for one request; a second one is rejected without running.
    if (this.attempts.has(reservation)) {
      target.send({ result: { kind: 'rejected', refusal: 'expired' } })
      return
    }
    this.attempts.set(reservation, { request, replyTarget: target })
    this.runtime.dispatch({
      slice: 'admission', type: 'workArrived', reservation, callerRequestId, route, fingerprint, timeout
    })
  }

  /**
   * Sends the reply of an attempt to a new connection of its gateway, immediately or when it becomes available.
   *
   * @param reservation - the attempt's reservation
   * @param target - destination of the reply
   * @returns false if the attempt is unknown
   */
  attachReplyTarget (reservation: ReservationId, target: ReplyTarget): boolean {
    const attempt = this.attempts.get(reservation)
    if (attempt === undefined) return false
    attempt.replyTarget = target
    if (attempt.reply !== undefined) {
      sendReply(attempt)
      return true
    }
    this.runtime.dispatch({ slice: 'admission', type: 'workAttached', reservation })
    return true
  }

  /**
   * Records that the connection to a gateway broke before the reply was sent.
   *
   * @param reservation - the attempt's reservation
   * @param target - reply target of that connection
   */
  detachReplyTarget (reservation: ReservationId, target: ReplyTarget): void {
    const attempt = this.attempts.get(reservation)
    if (attempt?.replyTarget !== target || attempt.reply !== undefined) return
    attempt.replyTarget = undefined
    this.runtime.dispatch({ slice: 'admission', type: 'workDetached', reservation })
  }

  override run (effect: MeshEffect): void {
    if (effect.slice !== 'admission') return
    const attempt = this.attempts.get(effect.reservation)
    if (attempt === undefined) return
    switch (effect.type) {
      case 'dispatch':
        void this.dispatch(attempt, effect)
        break
      case 'abort':
        attempt.exchange?.abort()
        break
      case 'reject':
        attempt.replyTarget?.send({ result: { kind: 'rejected', refusal: effect.refusal } })
        this.attempts.delete(effect.reservation)
        break
      case 'deliver':
        this.deliver(attempt, effect.mayHaveRun)
        break
      case 'forget':
        attempt.reply?.answer?.body.discard()
        this.attempts.delete(effect.reservation)
    }
  }

  /** Replies that the outcome is unknown, since the backend server may have run the request. */
  override handleError (effect: MeshEffect, err: unknown): void {
    if (effect.slice !== 'admission') throw err
    const attempt = this.attempts.get(effect.reservation)
    if (attempt === undefined) throw err
    const { callerRequestId: request } = attempt.request
    this.log.error('reply failed in this node', { request, effect: effect.type, error: describeError(err) })
    attempt.reply?.answer?.body.discard()
    attempt.reply = { result: { kind: 'broken' } }
    attempt.replyTarget?.send(attempt.reply)
  }

  override stop (): void {
    for (const { exchange } of this.attempts.values()) exchange?.abort()
    this.agent.destroy()
  }

  /** Reports a response that is passed on while it is read: the process must not end before it has. */
  private followStream (reservation: ReservationId, { request, exchange }: Attempt, body: ResponseBody): void {
    const { callerRequestId } = request
    this.runtime.dispatch({ slice: 'admission', type: 'streamOpened', reservation })
    void body.whenEnded.then((end) => {
      const isBroken = end === 'broken' && exchange?.isAborted === false
      this.runtime.dispatch({ slice: 'admission', type: 'streamClosed', reservation, callerRequestId, isBroken })
    })
  }

  private deliver (attempt: Attempt, mayHaveRun: boolean): void {
    const { reply } = attempt
    if (reply === undefined) return
    // The reply may be kept for a while; what was sent to the server is not needed any more.
    attempt.request = { ...attempt.request, body: undefined }
    attempt.exchange = undefined
    const { kind } = reply.result
    if (mayHaveRun && (kind === 'declined' || kind === 'unreachable')) attempt.reply = { result: { kind: 'broken' } }
    if (attempt.replyTarget !== undefined) sendReply(attempt)
  }

  private async dispatch (attempt: Attempt, effect: Dispatch): Promise<void> {
    const { request } = attempt
    // A request that is sent a second time has the reply of the first send.
    attempt.reply = undefined
    const { head, body = new BodyBuffer(), callerRequestId, callerService, team } = request
    const contextHeaders = this.protocol.composeBackendHeaders({
      endpoint: effect.endpoint, callerService, team, timeout: effect.timeout
    })
    attempt.exchange = new BackendExchange({
      agent: effect.reuseConnection ? this.agent : undefined,
      address: effect.address,
      method: head.method,
      target: head.target,
      headers: [...head.headers, ...contextHeaders],
      body,
      protocol: this.protocol,
      callerRequestId,
      account: this.account,
      timeoutMs: effect.timeout + DEADLINE_MARGIN_MS
    })
    const { outcome, notice, answer } = await attempt.exchange.run()
    // The attempt may have been forgotten meanwhile.
    if (this.attempts.get(effect.reservation) !== attempt) answer?.body.discard()
    else attempt.reply = { result: toAttemptResult(outcome), answer }
    if (answer !== undefined && !answer.body.isWhole) this.followStream(effect.reservation, attempt, answer.body)
    this.runtime.dispatch({ slice: 'admission', type: 'workEnded', reservation: effect.reservation, outcome, notice })
  }
}

/** Sends the reply, and keeps it in case that the connection is lost, unless its target frees it. */
function sendReply (attempt: Attempt): void {
  const { reply, replyTarget } = attempt
  // The target refers to the connection and to all that was received on it.
  attempt.replyTarget = undefined
  const { result, answer } = reply!
  if (answer?.body.canSend === false) {
    // It was given up, or passed on while it was read and cannot be passed on again.
    replyTarget!.send({ result: { kind: 'broken' } })
    return
  }
  replyTarget!.send(reply!)
  if (replyTarget!.ownsAnswer) attempt.reply = { result }
}

function toAttemptResult (outcome: WorkOutcome): AttemptReply['result'] {
  switch (outcome.kind) {
    case 'answered': return outcome
    case 'declined':
    case 'unreachable': return { kind: outcome.kind }
    case 'broken':
    case 'aborted': return { kind: 'broken' }
  }
}
