import { type Client, createClient } from '@connectrpc/connect'
import type { Declaration } from '@lavenderturn/declaration'
import type {
  AnswerApply, AskConfirm, AskIntent, AskPrepare, ControlEffect, EventBody, FetchDeltas, FetchSnapshot,
  RuntimeEffect, Peer, PushNotice, WriteOutcome
} from '@lavenderturn/decisions'
import { type CallId, type FetchId, type Revision, toId } from '@lavenderturn/types'
import {
  ControlService, decodeControlDelta, decodeControlSnapshot, decodeFreshness, WriteOutcome as WireOutcome
} from '@lavenderturn/wire'
import { EffectHandler } from '../EffectHandler'
import type { PeerTransports } from '../peers/PeerTransports'
import { PendingCalls } from '../peers/PendingCalls'
import type { Runtime } from '../Runtime'

/** A peer that does not answer in time counts as unreachable; data centres are at most about 100 ms apart. */
const CALL_TIMEOUT_MS = 500

/** A complete control document with 220,000 teams is about 20 MB. */
const SNAPSHOT_TIMEOUT_MS = 5_000

/** @public */
export interface ControlHandlerOptions {
  readonly runtime: Runtime
  readonly transports: PeerTransports
}

/** Sends and answers calls of `ControlService`, by which nodes replicate the control document. @public */
export class ControlHandler extends EffectHandler {
  override readonly slices = ['control'] as const
  /** Calls from other nodes and from operators that wait for the reducer's answer. */
  readonly pendingCalls = new PendingCalls<ControlEffect>()
  readonly runtime: Runtime
  private readonly transports: PeerTransports

  constructor ({ runtime, transports }: ControlHandlerOptions) {
    super()
    this.runtime = runtime
    this.transports = transports
  }

  /**
   * Sends the reducer an event that opens a call, and waits for the effect that answers it.
   *
   * @param type - type of the effect that answers the call
   * @param event - creates the event from the call id
   * @returns the answer
   */
  async callReducer<Type extends ControlEffect['type']> (
    type: Type, event: (callId: CallId) => EventBody
  ): Promise<Extract<ControlEffect, { type: Type }>> {
    const answer = await this.pendingCalls.open((callId) => { this.runtime.enqueue(event(callId)) })
    if (answer.type !== type) throw new Error(`${answer.type} answered a call that waits for ${type}`)
    return answer as Extract<ControlEffect, { type: Type }>
  }

  /**
   * Requests that a declaration be accepted and put into force.
   *
   * @param base - revision that the declaration is based on
   * @param declaration - the validated declaration
   * @returns the result
   */
  async apply (base: Revision, declaration: Declaration): Promise<AnswerApply> {
    return await this.callReducer('answerApply', (callId) => ({
      slice: 'control', type: 'applyAsked', callId, base, declaration
    }))
  }

  override run (effect: RuntimeEffect): void {
    if (effect.slice !== 'control') return
    if ('callId' in effect) this.pendingCalls.answer(effect.callId, effect)
    else void this.callPeer(effect)
  }

  override async stop (): Promise<void> {
    this.transports.close()
  }

  private async callPeer (effect: Exclude<ControlEffect, { callId: unknown }>): Promise<void> {
    try {
      const event = await this.sendToPeer(effect)
      if (event !== undefined) this.runtime.enqueue(event)
    } catch {
      // Only fetches report a failure; the other calls are repeated at the next tick.
      if ('fetchId' in effect) this.runtime.enqueue(createFetchFailed(effect.fetchId))
    }
  }

  private async sendToPeer (effect: Exclude<ControlEffect, { callId: unknown }>): Promise<EventBody | undefined> {
    switch (effect.type) {
      case 'pushNotice': return await this.pushNotice(effect)
      case 'askConfirm': return await this.askConfirm(effect)
      case 'askPrepare': return await this.askPrepare(effect)
      case 'askIntent': return await this.askIntent(effect)
      case 'fetchDeltas': return await this.fetchDeltas(effect)
      case 'fetchSnapshot': return await this.fetchSnapshot(effect)
    }
  }

  private async pushNotice ({ peer, revision }: PushNotice): Promise<EventBody> {
    const from = this.runtime.query(({ identity }) => identity.nodeId)
    await this.client(peer).notify({ from, revision: BigInt(revision) }, { timeoutMs: CALL_TIMEOUT_MS })
    return { slice: 'control', type: 'memberReplied', node: peer.node }
  }

  private async askConfirm ({ peer, askedAt }: AskConfirm): Promise<EventBody | undefined> {
    const { report, vouches } = await this.client(peer).confirm({}, { timeoutMs: CALL_TIMEOUT_MS })
    if (report === undefined) return undefined
    return {
      slice: 'control', type: 'confirmAnswered', from: peer.node, askedAt, vouches, ...decodeFreshness(report)
    }
  }

  private async askPrepare ({ peer, intent }: AskPrepare): Promise<EventBody> {
    const { token, writer, revision } = intent
    await this.client(peer).prepare({ token, writer, revision: BigInt(revision) }, { timeoutMs: CALL_TIMEOUT_MS })
    return { slice: 'control', type: 'prepareAnswered', token, from: peer.node }
  }

  private async askIntent ({ peer, token }: AskIntent): Promise<EventBody> {
    const { outcome } = await this.client(peer).fetchOutcome({ token }, { timeoutMs: CALL_TIMEOUT_MS })
    return { slice: 'control', type: 'intentAnswered', token, from: peer.node, outcome: decodeOutcome(outcome) }
  }

  private async fetchDeltas ({ peer, fetchId, since }: FetchDeltas): Promise<EventBody> {
    const { revision, deltas } = await this.client(peer).fetchDelta(
      { since: BigInt(since) }, { timeoutMs: CALL_TIMEOUT_MS }
    )
    return {
      slice: 'control',
      type: 'deltasFetched',
      fetchId,
      revision: toId(Number(revision)),
      deltas: deltas.map(decodeControlDelta)
    }
  }

  private async fetchSnapshot ({ peer, fetchId }: FetchSnapshot): Promise<EventBody> {
    const { snapshot } = await this.client(peer).fetchSnapshot({}, { timeoutMs: SNAPSHOT_TIMEOUT_MS })
    if (snapshot === undefined) return createFetchFailed(fetchId)
    return { slice: 'control', type: 'snapshotFetched', fetchId, snapshot: decodeControlSnapshot(snapshot) }
  }

  private client ({ address }: Peer): Client<typeof ControlService> {
    return createClient(ControlService, this.transports.get(address))
  }
}

function createFetchFailed (fetchId: FetchId): EventBody {
  return { slice: 'control', type: 'fetchFailed', fetchId }
}

function decodeOutcome (outcome: WireOutcome): WriteOutcome | undefined {
  switch (outcome) {
    case WireOutcome.ACCEPTED: return 'accepted'
    case WireOutcome.WITHDRAWN: return 'withdrawn'
    case WireOutcome.UNSPECIFIED: return undefined
  }
}
