import { createClient } from '@connectrpc/connect'
import type { AskPermit, RuntimeEffect, PermitAnswer, ProbeServer, ReleasePermit } from '@lavenderturn/decisions'
import type { NodeId } from '@lavenderturn/types'
import { HealthService } from '@lavenderturn/wire'
import { EffectHandler } from '../EffectHandler'
import type { PeerTransports } from '../peers/PeerTransports'
import { PendingCalls } from '../peers/PendingCalls'
import type { Runtime } from '../Runtime'
import { canConnect } from './canConnect'
import { decodePermitAnswer } from './permitCodec'

/** When an owner does not answer in time, the reducer asks again later. */
const CALL_TIMEOUT_MS = 1_000

/** @public */
export interface HealthHandlerOptions {
  readonly runtime: Runtime
  readonly peers: PeerTransports
  readonly nodeId: NodeId
}

/** Sends and answers calls of `HealthService`, by which nodes obtain permits, and probes backend servers. @public */
export class HealthHandler extends EffectHandler {
  override readonly slices = ['health'] as const
  /** Permit requests that this node's reducer has not answered yet. */
  readonly pendingPermits = new PendingCalls<PermitAnswer>()
  private readonly runtime: Runtime
  private readonly peers: PeerTransports
  private readonly nodeId: NodeId

  constructor ({ runtime, peers, nodeId }: HealthHandlerOptions) {
    super()
    this.runtime = runtime
    this.peers = peers
    this.nodeId = nodeId
  }

  override run (effect: RuntimeEffect): void {
    if (effect.slice !== 'health') return
    switch (effect.type) {
      case 'askPermit':
        void this.askPermit(effect)
        break
      case 'releasePermit':
        void this.releasePermit(effect)
        break
      case 'answerPermit':
        this.pendingPermits.answer(effect.callId, effect.answer)
        break
      case 'probeServer':
        void this.probeServer(effect)
    }
  }

  private async askPermit (effect: AskPermit): Promise<void> {
    const { endpoint, askedAt } = effect
    try {
      const answer = effect.owner === this.nodeId ? await this.askLocally(effect) : await this.askOwner(effect)
      this.runtime.enqueue({ slice: 'health', type: 'permitAnswered', endpoint, askedAt, answer })
    } catch {
      this.runtime.enqueue({ slice: 'health', type: 'permitUnanswered', endpoint, askedAt })
    }
  }

  private async askLocally ({ service, endpoint, askedAt }: AskPermit): Promise<PermitAnswer> {
    return await this.pendingPermits.open((callId) => {
      this.runtime.enqueue({
        slice: 'health', type: 'permitAsked', callId, holder: this.nodeId, service, endpoint, askedAt
      })
    })
  }

  private async askOwner ({ address, service, endpoint, askedAt }: AskPermit): Promise<PermitAnswer> {
    const client = createClient(HealthService, this.peers.get(address))
    const request = { holder: this.nodeId, service, endpoint, askedAtMs: askedAt }
    return decodePermitAnswer(await client.askPermit(request, { timeoutMs: CALL_TIMEOUT_MS }))
  }

  private async releasePermit ({ owner, address, service, endpoint, askedAt }: ReleasePermit): Promise<void> {
    if (owner === this.nodeId) {
      this.runtime.enqueue({ slice: 'health', type: 'permitReleased', holder: owner, service, endpoint, askedAt })
      return
    }
    const client = createClient(HealthService, this.peers.get(address))
    const request = { holder: this.nodeId, service, endpoint, askedAtMs: askedAt }
    // If the release is lost, the permit expires at the end of its lifetime.
    await client.releasePermit(request, { timeoutMs: CALL_TIMEOUT_MS }).catch(() => undefined)
  }

  private async probeServer ({ endpoint, address }: ProbeServer): Promise<void> {
    const accepted = await canConnect(address)
    this.runtime.dispatch({ slice: 'admission', type: 'serverProbed', endpoint, accepted })
  }
}
