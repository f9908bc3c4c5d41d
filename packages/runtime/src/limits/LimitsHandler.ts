import { createClient } from '@connectrpc/connect'
import type { AskGrant, GrantReply, HandOverResult, OfferHandOver, RuntimeEffect } from '@lavenderturn/decisions'
import { type Address } from '@lavenderturn/types'
import {
  decodeGrantReply, decodeHandOverResult, encodeGrantRequest, encodeGrantRecall, encodeGrantReturn, encodeHandOver,
  LimitsService
} from '@lavenderturn/wire'
import { EffectHandler } from '../EffectHandler'
import type { PeerTransports } from '../peers/PeerTransports'
import { PendingCalls } from '../peers/PendingCalls'
import type { Runtime } from '../Runtime'

/** Same as in the reducer: covers the owner's hold of 150 ms and the round trip to a distant region. */
const GRANT_TIMEOUT_MS = 400

/** Lost returns and recalls are compensated by later messages or by the expiry of the grant. */
const NOTICE_TIMEOUT_MS = 500

/** A hand-over transfers all buckets of a partition. */
const HAND_OVER_TIMEOUT_MS = 2_000

/** @public */
export interface LimitsHandlerOptions {
  readonly runtime: Runtime
  readonly transports: PeerTransports
}

/** Sends and answers calls of `LimitsService`, by which nodes share rate limits. @public */
export class LimitsHandler extends EffectHandler {
  override readonly slices = ['limits'] as const
  /** Grant requests from other nodes that the reducer has not answered yet. */
  readonly pendingGrants = new PendingCalls<GrantReply>()
  /** Hand-overs from other nodes that the reducer has not answered yet. */
  readonly pendingHandOvers = new PendingCalls<HandOverResult>()
  private readonly runtime: Runtime
  private readonly transports: PeerTransports

  constructor ({ runtime, transports }: LimitsHandlerOptions) {
    super()
    this.runtime = runtime
    this.transports = transports
  }

  override run (effect: RuntimeEffect): void {
    if (effect.slice !== 'limits') return
    switch (effect.type) {
      case 'askGrant':
        void this.ask(effect)
        break
      case 'answerAsk':
        this.pendingGrants.answer(effect.callId, effect.reply)
        break
      case 'returnGrant':
        this.ignoreFailure(this.client(effect.address).returnGrant(encodeGrantReturn(effect.statement), noticeOptions))
        break
      case 'recallGrant':
        this.ignoreFailure(this.client(effect.address).recallGrant(encodeGrantRecall(effect.recall), noticeOptions))
        break
      case 'offerHandOver':
        void this.offerHandOver(effect)
        break
      case 'answerHandOver':
        this.pendingHandOvers.answer(effect.callId, effect.result)
    }
  }

  private client (address: Address) {
    return createClient(LimitsService, this.transports.get(address))
  }

  private async ask ({ address, ask, node }: AskGrant): Promise<void> {
    const reply = await this.client(address).askGrant(encodeGrantRequest(ask), { timeoutMs: GRANT_TIMEOUT_MS })
      .then((message) => decodeGrantReply(message, ask)).catch(() => undefined)
    if (reply !== undefined) {
      this.runtime.dispatch({ slice: 'limits', type: 'askAnswered', reply })
      return
    }
    const { team, domain, holder, number } = ask
    this.runtime.dispatch({ slice: 'limits', type: 'askFailed', key: { team, domain, holder }, number, node })
  }

  private async offerHandOver ({ address, handOver }: OfferHandOver): Promise<void> {
    const result = await this.client(address).handOver(encodeHandOver(handOver), { timeoutMs: HAND_OVER_TIMEOUT_MS })
      .then((message) => decodeHandOverResult(message.result), () => undefined)
    this.runtime.enqueue({ slice: 'limits', type: 'handOverAnswered', entry: handOver.entry, result })
  }

  private ignoreFailure (call: Promise<unknown>): void {
    call.catch(() => {})
  }
}

const noticeOptions = { timeoutMs: NOTICE_TIMEOUT_MS }
