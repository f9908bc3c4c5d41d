import type { EventBody, MeshEffect, PeerMessage } from '@lavenderturn/mesh'
import { splitAddress } from '@lavenderturn/runtime'
import { type Address, toId } from '@lavenderturn/types'
import type { ConsolaInstance } from 'consola'
import { createSocket, type Socket } from 'node:dgram'
import { MeshEffectHandler, type MeshRuntime } from '../MeshRuntime'
import { decodePeerMessage, encodePeerMessage } from './peerCodec'

/** @internal */
export interface PeerHandlerOptions {
  readonly runtime: MeshRuntime
  readonly log: ConsolaInstance
  /** Address at which other nodes reach this node; messages to it are delivered inside the process. */
  readonly address: Address
  /** Address to which the socket is bound. */
  readonly listenAddress: Address
}

/** Sends and receives datagrams between nodes. They may be lost; senders retry when a reply is missing. @internal */
export class PeerHandler extends MeshEffectHandler {
  override readonly slices = ['peer'] as const
  /** Number of datagrams that were dropped because they could not be decoded. */
  malformedCount = 0
  private readonly runtime: MeshRuntime
  private readonly log: ConsolaInstance
  private readonly address: Address
  private readonly listenAddress: Address
  private readonly socket: Socket = createSocket('udp4')
  private lastEncoded: { readonly message: PeerMessage, readonly text: string } | undefined

  constructor ({ runtime, log, address, listenAddress }: PeerHandlerOptions) {
    super()
    this.runtime = runtime
    this.log = log
    this.address = address
    this.listenAddress = listenAddress
    this.socket.on('message', (data, sender) => { this.receive(data, toId(`${sender.address}:${sender.port}`)) })
    this.socket.on('error', (err) => { this.log.warn('datagram socket failed', { error: err.message }) })
  }

  /** @returns a promise that resolves when the socket is bound */
  async open (): Promise<void> {
    const { host, port } = splitAddress(this.listenAddress)
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject)
      this.socket.bind(port, host, () => {
        this.socket.off('error', reject)
        resolve()
      })
    })
  }

  override run (effect: MeshEffect): void {
    if (effect.slice !== 'peer') return
    if (effect.to === this.address) {
      this.runtime.dispatch(toEvent(effect.message, this.address))
      return
    }
    const { host, port } = splitAddress(effect.to)
    this.socket.send(this.encode(effect.message), port, host, (err) => {
      // The sender retries when a reply is missing, and peers detect a node that falls silent.
      if (err !== null) this.log.debug('datagram not sent', { to: effect.to, error: err.message })
    })
  }

  override stop (): void {
    this.socket.close()
  }

  /** Caches the latest encoded message, because a heartbeat is sent to many nodes. */
  private encode (message: PeerMessage): string {
    if (this.lastEncoded?.message !== message) this.lastEncoded = { message, text: encodePeerMessage(message) }
    return this.lastEncoded.text
  }

  private receive (data: Buffer, from: Address): void {
    const message = decodePeerMessage(data)
    if (message === undefined) {
      this.malformedCount += 1
      return
    }
    this.runtime.dispatch(toEvent(message, from))
  }
}

function toEvent (message: PeerMessage, from: Address): EventBody {
  switch (message.kind) {
    case 'beat': return { slice: 'directory', type: 'beatReceived', message, from }
    case 'hello': return { slice: 'directory', type: 'helloReceived', message }
    case 'askConfirmation': return { slice: 'configuration', type: 'confirmationAsked', message }
    case 'confirmation': return { slice: 'configuration', type: 'confirmationReported', message }
    case 'askSlot': return { slice: 'admission', type: 'slotAsked', message }
    case 'slot': return { slice: 'gateway', type: 'slotAnswered', message }
    case 'release': return { slice: 'admission', type: 'slotReleased', reservation: message.reservation }
    case 'cancel': return { slice: 'admission', type: 'workCancelled', reservation: message.reservation }
    case 'started': return { slice: 'gateway', type: 'attemptStarted', reservation: message.reservation }
    case 'recall': {
      const { reservation, replyTo } = message
      return { slice: 'admission', type: 'workRecalled', reservation, replyTo }
    }
    case 'recalled': return { slice: 'gateway', type: 'attemptRecalled', message }
    case 'askToken': return { slice: 'quota', type: 'tokenAsked', message }
    case 'token': return { slice: 'gateway', type: 'tokenAnswered', message }
    case 'rolloutStep': return { slice: 'rollout', type: 'stepReceived', message }
    case 'rolloutEvidence': return { slice: 'rollout', type: 'evidenceReceived', message }
    case 'crash': return { slice: 'admission', type: 'crashReported', message }
  }
}
