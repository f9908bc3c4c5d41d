import type { AttemptResult } from '@lavenderturn/mesh'
import { type ExchangeAgent, splitAddress } from '@lavenderturn/runtime'
import type { Address } from '@lavenderturn/types'
import { type ClientRequest, type IncomingMessage, request as startRequest } from 'node:http'
import type { Socket } from 'node:net'
import { decodeResult } from '../admission/AttemptReply'
import { forwardHeaders } from '../forwardHeaders'
import { dropConnectionHeaders } from '../protocol/connectionHeaders'
import { type HeaderList, listHeaders, type WholeAnswer } from '../protocol/RequestHead'
import { readBody } from '../readBody'

/** Time for a new connection to another node; one that is cut off does not answer at all. */
const CONNECT_TIMEOUT_MS = 250

/** The longest answer that is taken from another node. */
const MAX_ANSWER_BYTES = 33_554_432

/** Room for the headers of a backend server's answer and the node's own. */
const MAX_HEADER_BYTES = 81_920

/** @internal */
export interface PeerExchangeOptions {
  readonly agent: ExchangeAgent
  readonly address: Address
  readonly method: string
  readonly target: string
  readonly headers: HeaderList
  readonly body?: Buffer
}

/** What came of an exchange with another node. @internal */
export type PeerExchangeResult =
  | { readonly kind: 'replied', readonly result: AttemptResult, readonly answer: WholeAnswer }
  /** The connection could not be made or broke. */
  | { readonly kind: 'lost', readonly sent: boolean }
  | { readonly kind: 'dropped' }

/** One request to another node, or a question for an answer. @internal */
export class PeerExchange {
  private request: ClientRequest | undefined
  private dropped = false
  private connected = false
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly options: PeerExchangeOptions) {}

  /** @returns what came of it; never rejects */
  async run (): Promise<PeerExchangeResult> {
    try {
      const response = await this.send()
      const result = decodeResult(response.headers[forwardHeaders.result] as string | undefined)
      if (result === undefined) throw new Error('the other node sent no result')
      const body = await readBody(response, { maxBytes: MAX_ANSWER_BYTES })
      const headers = dropConnectionHeaders(listHeaders(response.rawHeaders))
      return { kind: 'replied', result, answer: { status: response.statusCode ?? 0, headers, body } }
    } catch {
      // The reducer asks the other node what became of the request.
      this.request?.destroy()
      return this.dropped ? { kind: 'dropped' } : { kind: 'lost', sent: this.connected }
    } finally {
      clearTimeout(this.timer)
    }
  }

  /** Closes the connection. */
  drop (): void {
    this.dropped = true
    this.request?.destroy()
  }

  private async send (): Promise<IncomingMessage> {
    const { agent, address, method, target, headers, body } = this.options
    agent.closeStale()
    return await new Promise((resolve, reject) => {
      const raw: Record<string, string | string[]> = {}
      for (const [name, value] of headers) raw[name] = raw[name] === undefined ? value : [raw[name], value].flat()
      if (body !== undefined) raw['Content-Length'] = String(body.length)
      const request = startRequest({
        ...splitAddress(address), method, path: target, agent, maxHeaderSize: MAX_HEADER_BYTES, headers: raw
      })
      this.request = request
      request.on('socket', (socket) => { this.watchConnect(request, socket) })
      request.on('response', resolve)
      request.on('error', reject)
      request.on('close', () => { reject(new Error('connection closed before a reply')) })
      request.end(body)
    })
  }

  private watchConnect (request: ClientRequest, socket: Socket): void {
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
