import { createClient } from '@connectrpc/connect'
import type { AskGrant, GrantReply, HandOverResult, OfferHandOver, OutwardEffect } from '@lavenderturn/decisions'
import { type Address } from '@lavenderturn/types'
import {
  decodeGrantReply, decodeHandOverResult, encodeGrantAsk, encodeGrantRecall, encodeGrantReturn, encodeHandOver,
  LimitsService
} from '@lavenderturn/wire'
import { EffectHandler } from '../EffectHandler'
import type { PeerTransports } from '../peers/PeerTransports'
import { PendingCalls } from '../peers/PendingCalls'
import type { Runtime } from '../Runtime'

/** As in the decisions: covers the owner's hold of 150 ms and a distant region. */
const ASK_TIMEOUT_MS = 400

/** Returns and recalls are made good by later messages or by expiry. */
const NOTICE_TIMEOUT_MS = 500

/** A hand-over carries all buckets of a partition. */
const HAND_OVER_TIMEOUT_MS = 2_000

/** @public */
export interface LimitsHandlerOptions {
  readonly runtime: Runtime
  readonly transports: PeerTransports
}

/** Calls other nodes for rate limits, and answers their calls. @public */
export class LimitsHandler extends EffectHandler {
  override readonly slices = ['limits'] as const
  /** Asks of other nodes that the reducer has not answered yet. */
  readonly asks = new PendingCalls<GrantReply>()
  /** Hand-overs of other nodes that the reducer has not answered yet. */
  readonly handOvers = new PendingCalls<HandOverResult>()
  private readonly runtime: Runtime
  private readonly transports: PeerTransports

  constructor ({ runtime, transports }: LimitsHandlerOptions) {
    super()
    this.runtime = runtime
    this.transports = transports
  }

  override run (effect: OutwardEffect): void {
    if (effect.slice !== 'limits') return
    switch (effect.type) {
      case 'askGrant':
        void this.ask(effect)
        break
      case 'answerAsk':
        this.asks.answer(effect.callId, effect.reply)
        break
      case 'returnGrant':
        this.notify(this.client(effect.address).returnGrant(encodeGrantReturn(effect.statement), notice))
        break
      case 'recallGrant':
        this.notify(this.client(effect.address).recallGrant(encodeGrantRecall(effect.recall), notice))
        break
      case 'offerHandOver':
        void this.offer(effect)
        break
      case 'answerHandOver':
        this.handOvers.answer(effect.callId, effect.result)
    }
  }

  private client (address: Address) {
    return createClient(LimitsService, this.transports.get(address))
  }

  private async ask ({ address, ask, node }: AskGrant): Promise<void> {
    const reply = await this.client(address).askGrant(encodeGrantAsk(ask), { timeoutMs: ASK_TIMEOUT_MS })
      .then((message) => decodeGrantReply(message, ask)).catch(() => undefined)
    if (reply !== undefined) {
      this.runtime.dispatch({ slice: 'limits', type: 'askAnswered', reply })
      return
    }
    const { team, domain, holder, number } = ask
    this.runtime.dispatch({ slice: 'limits', type: 'askFailed', key: { team, domain, holder }, number, node })
  }

  private async offer ({ address, handOver }: OfferHandOver): Promise<void> {
    const result = await this.client(address).handOver(encodeHandOver(handOver), { timeoutMs: HAND_OVER_TIMEOUT_MS })
      .then((message) => decodeHandOverResult(message.result), () => undefined)
    this.runtime.tell({ slice: 'limits', type: 'handOverAnswered', entry: handOver.entry, result })
  }

  private notify (call: Promise<unknown>): void {
    call.catch(() => {})
  }
}

const notice = { timeoutMs: NOTICE_TIMEOUT_MS }
