import type { AttemptResult } from '@lavenderturn/mesh'
import { type BodyBuffer, type ExchangeAgent, hasForwardableHeaders, isFinalStatus, splitAddress } from '@lavenderturn/runtime'
import type { Address } from '@lavenderturn/types'
import { type ClientRequest, type IncomingMessage, request as startRequest } from 'node:http'
import type { Socket } from 'node:net'
import { decodeAttemptResult } from '../admission/AttemptReply'
import { SpooledBody } from '../body/SpooledBody'
import { forwardHeaders } from '../forwardHeaders'
import { removeConnectionHeaders } from '../protocol/connectionHeaders'
import { groupHeaders } from '../protocol/groupHeaders'
import { type Answer, type HeaderList, parseRawHeaders } from '../protocol/RequestHead'
import type { MemoryAccount } from '../memory/MemoryAccount'

/** Timeout of new connections to other nodes; a node that is partitioned off does not respond at all. */
const CONNECT_TIMEOUT_MS = 250

const MAX_RESPONSE_BYTES = 33_554_432

/** Fits the headers of a backend server's response plus those that the node adds. */
const MAX_RESPONSE_HEADER_BYTES = 81_920

/** @internal */
export interface PeerExchangeOptions {
  readonly agent: ExchangeAgent
  readonly account: MemoryAccount
  /** Id that the caller gave the request. */
  readonly callerRequestId: string
  readonly address: Address
  readonly method: string
  readonly target: string
  readonly headers: HeaderList
  readonly body?: BodyBuffer
}

/** Result of an exchange with another node. @internal */
export type PeerExchangeResult =
  | { readonly kind: 'replied', readonly result: AttemptResult, readonly answer: Answer }
  /** The connection could not be established, or broke; `sent` is false if nothing was sent. */
  | { readonly kind: 'lost', readonly sent: boolean }
  | { readonly kind: 'cancelled' }

/** A request forwarded to another node, or a request for the response of an earlier attempt. @internal */
export class PeerExchange {
  private request: ClientRequest | undefined
  private isCancelled = false
  private connected = false
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly options: PeerExchangeOptions) {}

  /** @returns the result; never rejects */
  async run (): Promise<PeerExchangeResult> {
    let body: SpooledBody | undefined
    try {
      const response = await this.send()
      const result = decodeAttemptResult(response.headers[forwardHeaders.result] as string | undefined)
      if (result === undefined) throw new Error('the response of the other node has no valid result header')
      const status = response.statusCode ?? 0
      if (!isFinalStatus(status)) throw new Error(`the response of the other node has the status ${status}`)
      if (!hasForwardableHeaders(response.rawHeaders)) throw new Error('a header of the other node is not valid')
      const { account, callerRequestId } = this.options
      const share = account.openShare({ purpose: 'response', stage: 'reading', callerRequestId })
      body = new SpooledBody({ message: response, share, maxBytes: MAX_RESPONSE_BYTES })
      await body.ready
      const headers = removeConnectionHeaders(parseRawHeaders(response.rawHeaders))
      return { kind: 'replied', result, answer: { status, headers, body } }
    } catch {
      // The reducer queries the state of the attempt from the other node.
      this.request?.destroy()
      body?.discard()
      return this.isCancelled ? { kind: 'cancelled' } : { kind: 'lost', sent: this.connected }
    } finally {
      clearTimeout(this.timer)
    }
  }

  /** Cancels the exchange by closing its connection. */
  cancel (): void {
    this.isCancelled = true
    this.request?.destroy()
  }

  private async send (): Promise<IncomingMessage> {
    const { agent, address, method, target, headers, body } = this.options
    agent.closeExpiredConnections()
    return await new Promise((resolve, reject) => {
      const raw = groupHeaders(headers)
      if (body !== undefined) raw['Content-Length'] = String(body.size)
      const request = startRequest({
        ...splitAddress(address),
        method,
        path: target,
        agent,
        maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
        headers: raw
      })
      this.request = request
      request.on('socket', (socket) => { this.trackConnection(request, socket) })
      request.on('response', resolve)
      request.on('error', reject)
      request.on('close', () => { reject(new Error('connection closed before a reply')) })
      for (const piece of body?.pieces ?? []) request.write(piece)
      request.end()
    })
  }

  private trackConnection (request: ClientRequest, socket: Socket): void {
    if (!socket.connecting) {
      this.connected = true
      return
    }
    this.timer = setTimeout(() => { request.destroy(new Error('connect timeout')) }, CONNECT_TIMEOUT_MS)
    socket.once('connect', () => {
      this.connected = true
      clearTimeout(this.timer)
    })
  }
}
