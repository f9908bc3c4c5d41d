import { createClient } from '@connectrpc/connect'
import type {
  ClaimReply, CopyReply, RuntimeEffect, SendClaim, SendCopyClaims, SendSettlement
} from '@lavenderturn/decisions'
import { type Address } from '@lavenderturn/types'
import {
  decodeClaimReply, decodeCopyReply, encodeClaimRequest, encodeCopyRecordsRequest, encodeSettlement, IdempotencyService
} from '@lavenderturn/wire'
import { EffectHandler } from '../EffectHandler'
import type { PeerTransports } from '../peers/PeerTransports'
import { PendingCalls } from '../peers/PendingCalls'
import type { Runtime } from '../Runtime'

/** The reducer abandons a claim after 500 ms, so a later answer is not needed. */
const CLAIM_TIMEOUT_MS = 500

/** Settlements and copies are retried every second. */
const RECORD_TIMEOUT_MS = 1_000

/** @public */
export interface IdempotencyHandlerOptions {
  readonly runtime: Runtime
  readonly transports: PeerTransports
}

/** Sends and answers calls of `IdempotencyService`, by which nodes share idempotency records. @public */
export class IdempotencyHandler extends EffectHandler {
  override readonly slices = ['idempotency'] as const
  /** Claims from other nodes that the reducer has not answered yet. */
  readonly pendingClaims = new PendingCalls<ClaimReply>()
  readonly pendingSettlements = new PendingCalls<boolean>()
  readonly pendingCopies = new PendingCalls<CopyReply>()
  private readonly runtime: Runtime
  private readonly transports: PeerTransports

  constructor ({ runtime, transports }: IdempotencyHandlerOptions) {
    super()
    this.runtime = runtime
    this.transports = transports
  }

  override run (effect: RuntimeEffect): void {
    if (effect.slice !== 'idempotency') return
    switch (effect.type) {
      case 'claim':
        void this.claim(effect)
        break
      case 'answerClaim':
        this.pendingClaims.answer(effect.callId, effect.reply)
        break
      case 'settle':
        void this.settle(effect)
        break
      case 'answerSettle':
        this.pendingSettlements.answer(effect.callId, effect.accepted)
        break
      case 'copyClaims':
        void this.copyRecords(effect)
        break
      case 'answerCopy':
        this.pendingCopies.answer(effect.callId, effect.reply)
    }
  }

  private client (address: Address) {
    return createClient(IdempotencyService, this.transports.get(address))
  }

  // Failed calls report no event: the reducer retries claims, settlements and copies with timers.
  private async claim ({ address, ask }: SendClaim): Promise<void> {
    const reply = await this.client(address).claim(encodeClaimRequest(ask), { timeoutMs: CLAIM_TIMEOUT_MS })
      .then((message) => decodeClaimReply(message, ask)).catch(() => undefined)
    if (reply !== undefined) this.runtime.dispatch({ slice: 'idempotency', type: 'claimAnswered', reply })
  }

  private async settle ({ address, settlement }: SendSettlement): Promise<void> {
    const message = await this.client(address).settle(encodeSettlement(settlement), { timeoutMs: RECORD_TIMEOUT_MS })
      .catch(() => undefined)
    if (message?.accepted !== true) return
    const { claimId: requestId, domain } = settlement
    this.runtime.enqueue({ slice: 'idempotency', type: 'settleAnswered', requestId, domain })
  }

  private async copyRecords ({ address, ask }: SendCopyClaims): Promise<void> {
    const reply = await this.client(address).copyClaims(encodeCopyRecordsRequest(ask), { timeoutMs: RECORD_TIMEOUT_MS })
      .then(decodeCopyReply).catch(() => undefined)
    if (reply !== undefined) this.runtime.enqueue({ slice: 'idempotency', type: 'copyAnswered', ask, reply })
  }
}
