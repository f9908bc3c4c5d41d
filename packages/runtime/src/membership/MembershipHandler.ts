import { createClient } from '@connectrpc/connect'
import type { Gossip, RuntimeEffect, SendGossip, SendIndirectProbe, SendProbe } from '@lavenderturn/decisions'
import type { Address, CallId } from '@lavenderturn/types'
import { MembershipService } from '@lavenderturn/wire'
import { EffectHandler } from '../EffectHandler'
import { PendingCalls } from '../peers/PendingCalls'
import type { PeerTransports } from '../peers/PeerTransports'
import type { Runtime } from '../Runtime'
import { decodeGossip, encodeGossip } from './gossipCodec'

/** Calls that take longer are cancelled; the reducer handles missing answers with its own timers. */
const CALL_TIMEOUT_MS = 500

/** The reducer's answer to another node's gossip; undefined when that node's protocol version is not supported. */
export type GossipAnswer = Gossip | undefined

/** Sends and answers gossip and probes. @public */
export class MembershipHandler extends EffectHandler {
  override readonly slices = ['membership'] as const
  /** Gossip from other nodes that waits for the reducer's answer. */
  readonly pendingGossip = new PendingCalls<GossipAnswer>()

  constructor (private readonly runtime: Runtime, private readonly transports: PeerTransports) {
    super()
  }

  override run (effect: RuntimeEffect): void {
    if (effect.slice !== 'membership') return
    switch (effect.type) {
      case 'sendGossip': return this.report(this.sendGossip(effect))
      case 'sendProbe': return this.report(this.sendProbe(effect))
      case 'sendIndirectProbe': return this.report(this.sendIndirectProbe(effect))
      case 'answerGossip': return this.answer(effect.callId, effect.gossip)
      case 'refuseGossip': return this.answer(effect.callId, undefined)
    }
  }

  /**
   * Probes a node on behalf of another member. The probe has no gossip.
   *
   * @param address - control address of the node
   * @returns whether it answered
   */
  async probe (address: Address): Promise<boolean> {
    return await this.client(address).probe({}, { timeoutMs: CALL_TIMEOUT_MS }).then(() => true, () => false)
  }

  private async sendGossip ({ address, gossip, askedAt, full }: SendGossip): Promise<void> {
    const answer = await this.client(address).exchange(
      { gossip: encodeGossip(gossip), full },
      { timeoutMs: CALL_TIMEOUT_MS }
    )
    if (answer.gossip === undefined) return
    this.runtime.enqueue({ slice: 'membership', type: 'gossipAnswered', gossip: decodeGossip(answer.gossip), askedAt })
  }

  private async sendProbe ({ probeId, address, gossip, askedAt }: SendProbe): Promise<void> {
    const answer = await this.client(address).probe({ gossip: encodeGossip(gossip) }, { timeoutMs: CALL_TIMEOUT_MS })
    this.runtime.enqueue({
      slice: 'membership',
      type: 'probeAnswered',
      probeId,
      answer: answer.gossip === undefined ? undefined : { gossip: decodeGossip(answer.gossip), askedAt }
    })
  }

  private async sendIndirectProbe ({ probeId, via, target, targetAddress }: SendIndirectProbe): Promise<void> {
    const { reachable } = await this.client(via).probeIndirect(
      { target, targetAddress },
      { timeoutMs: CALL_TIMEOUT_MS }
    )
    if (reachable) this.runtime.enqueue({ slice: 'membership', type: 'probeAnswered', probeId })
  }

  private answer (callId: CallId, gossip: GossipAnswer): void {
    this.pendingGossip.answer(callId, gossip)
  }

  /** Ignores failed calls: the reducer's timers detect the missing answer. */
  private report (call: Promise<void>): void {
    call.catch(() => {})
  }

  private client (address: Address): ReturnType<typeof createClient<typeof MembershipService>> {
    return createClient(MembershipService, this.transports.get(address))
  }
}
