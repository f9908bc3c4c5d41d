import { createClient } from '@connectrpc/connect'
import type {
  ClaimReply, CopyReply, OutwardEffect, SendClaim, SendCopyClaims, SendSettle
} from '@lavenderturn/decisions'
import { type Address } from '@lavenderturn/types'
import {
  decodeClaimReply, decodeCopyReply, encodeClaim, encodeCopyAsk, encodeSettlement, IdempotencyService
} from '@lavenderturn/wire'
import { EffectHandler } from '../EffectHandler'
import type { PeerTransports } from '../peers/PeerTransports'
import { PendingCalls } from '../peers/PendingCalls'
import type { Runtime } from '../Runtime'

/** A claim is given up after 500 ms, so a later answer is of no use. */
const CLAIM_TIMEOUT_MS = 500

/** Settlements and copies are tried again each second. */
const RECORD_TIMEOUT_MS = 1_000

/** @public */
export interface IdempotencyHandlerOptions {
  readonly runtime: Runtime
  readonly transports: PeerTransports
}

/** Calls other nodes for idempotency records, and answers their calls. @public */
export class IdempotencyHandler extends EffectHandler {
  override readonly slices = ['idempotency'] as const
  /** Calls of other nodes that the reducer has not answered yet. */
  readonly claims = new PendingCalls<ClaimReply>()
  readonly settlements = new PendingCalls<boolean>()
  readonly copies = new PendingCalls<CopyReply>()
  private readonly runtime: Runtime
  private readonly transports: PeerTransports

  constructor ({ runtime, transports }: IdempotencyHandlerOptions) {
    super()
    this.runtime = runtime
    this.transports = transports
  }

  override run (effect: OutwardEffect): void {
    if (effect.slice !== 'idempotency') return
    switch (effect.type) {
      case 'claim':
        void this.claim(effect)
        break
      case 'answerClaim':
        this.claims.answer(effect.callId, effect.reply)
        break
      case 'settle':
        void this.settle(effect)
        break
      case 'answerSettle':
        this.settlements.answer(effect.callId, effect.accepted)
        break
      case 'copyClaims':
        void this.copy(effect)
        break
      case 'answerCopy':
        this.copies.answer(effect.callId, effect.reply)
    }
  }

  private client (address: Address) {
    return createClient(IdempotencyService, this.transports.get(address))
  }

  // A failed call needs no event: each of the three is tried again by a timer of the reducer.
  private async claim ({ address, ask }: SendClaim): Promise<void> {
    const reply = await this.client(address).claim(encodeClaim(ask), { timeoutMs: CLAIM_TIMEOUT_MS })
      .then((message) => decodeClaimReply(message, ask)).catch(() => undefined)
    if (reply !== undefined) this.runtime.dispatch({ slice: 'idempotency', type: 'claimAnswered', reply })
  }

  private async settle ({ address, settlement }: SendSettle): Promise<void> {
    const message = await this.client(address).settle(encodeSettlement(settlement), { timeoutMs: RECORD_TIMEOUT_MS })
      .catch(() => undefined)
    if (message?.accepted !== true) return
    const { claimId: requestId, domain } = settlement
    this.runtime.tell({ slice: 'idempotency', type: 'settleAnswered', requestId, domain })
  }

  private async copy ({ address, ask }: SendCopyClaims): Promise<void> {
    const reply = await this.client(address).copyClaims(encodeCopyAsk(ask), { timeoutMs: RECORD_TIMEOUT_MS })
      .then(decodeCopyReply).catch(() => undefined)
    if (reply !== undefined) this.runtime.tell({ slice: 'idempotency', type: 'copyAnswered', ask, reply })
  }
}
