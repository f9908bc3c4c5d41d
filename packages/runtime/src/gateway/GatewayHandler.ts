import type { Forward, OutwardEffect } from '@lavenderturn/decisions'
import { type RequestId, type ResultName, toId } from '@lavenderturn/types'
import { Readable } from 'node:stream'
import { pipeline } from 'node:stream/promises'
import { Agent, type Dispatcher } from 'undici'
import { EffectHandler } from '../EffectHandler'
import { headers, selectHeaders } from '../headers'
import { isConnectError } from '../isConnectError'
import { formatReference, parseLoad } from '../loadHeader'
import { readPrefix } from '../readPrefix'
import type { Runtime } from '../Runtime'
import { sendProblem } from '../sendProblem'
import type { CallerExchange } from './CallerExchange'
import { hasFraming } from './hasFraming'

/** Answers up to this size are complete before their first byte goes to the caller. */
const ANSWER_BUFFER_BYTES = 65_536

/** Connections that a gateway keeps to one other node. */
const CONNECTIONS_PER_NODE = 64

/** Forwards requests to other nodes and answers callers. @public */
export class GatewayHandler extends EffectHandler {
  override readonly slices = ['gateway'] as const
  private readonly exchanges = new Map<RequestId, CallerExchange>()
  // Timeouts come from the reducer's deadlines.
  private readonly agent = new Agent({ connections: CONNECTIONS_PER_NODE, headersTimeout: 0, bodyTimeout: 0 })

  constructor (private readonly runtime: Runtime) {
    super()
  }

  /**
   * Takes over a caller's exchange before its arrival is reduced.
   *
   * @param exchange - request, response and body
   */
  open (exchange: CallerExchange): void {
    this.exchanges.set(exchange.requestId, exchange)
    exchange.res.once('close', () => {
      if (!this.exchanges.delete(exchange.requestId)) return
      this.runtime.dispatch({ slice: 'gateway', type: 'callerGone', requestId: exchange.requestId })
    })
  }

  override run (effect: OutwardEffect): void {
    if (effect.slice !== 'gateway') return
    const exchange = this.exchanges.get(effect.requestId)
    if (exchange === undefined) return
    switch (effect.type) {
      case 'forward':
        void this.forward(exchange, effect)
        break
      case 'cancelForward':
        exchange.aborts.get(effect.attemptId)?.abort()
        break
      case 'relay':
        void this.relay(exchange)
        break
      case 'refuse':
        this.exchanges.delete(effect.requestId)
        if (exchange.res.headersSent) exchange.res.destroy()
        else sendProblem(exchange.res, effect)
    }
  }

  override async stop (): Promise<void> {
    await this.agent.close()
  }

  private async forward (exchange: CallerExchange, effect: Forward): Promise<void> {
    const { requestId, attemptId } = effect
    const abort = new AbortController()
    exchange.aborts.set(attemptId, abort)
    try {
      const response = await this.agent.request({
        origin: `http://${effect.address}`,
        path: exchange.req.url!,
        method: exchange.req.method as Dispatcher.HttpMethod,
        headers: { ...selectHeaders(exchange.req.headers, exchange.key), ...describeAttempt(effect) },
        body: takeBody(exchange),
        signal: abort.signal
      })
      await this.receive(exchange, effect, response)
    } catch (err) {
      this.runtime.dispatch({
        slice: 'gateway',
        type: 'forwardFailed',
        requestId,
        attemptId,
        reason: isConnectError(err) ? 'connect' : 'reset',
        sent: !isConnectError(err),
        replayable: !exchange.bodyConsumed
      })
    }
  }

  private async receive (
    exchange: CallerExchange,
    { requestId, attemptId }: Forward,
    response: Dispatcher.ResponseData
  ): Promise<void> {
    const load = parseLoad(response.headers[headers.load])
    const result = response.headers[headers.result]
    if (result !== undefined) {
      await response.body.dump()
      const crashedBoot = response.headers[headers.crashedBoot]
      this.runtime.dispatch({
        slice: 'gateway',
        type: 'forwardRefused',
        requestId,
        attemptId,
        result: String(result) as ResultName,
        crashedBoot: typeof crashedBoot === 'string' ? toId(crashedBoot) : undefined,
        replayable: !exchange.bodyConsumed,
        load
      })
      return
    }
    if (response.headers[headers.attempt] !== attemptId) throw new Error('the answer belongs to another attempt')
    if (!hasFraming(exchange.req.method, response)) throw new Error('the end of the answer cannot be told')
    const prefix = await readPrefix(response.body, ANSWER_BUFFER_BYTES)
    exchange.answer = { attemptId, response, prefix }
    this.runtime.dispatch({
      slice: 'gateway', type: 'forwardAnswered', requestId, attemptId, status: response.statusCode, load
    })
  }

  private async relay (exchange: CallerExchange): Promise<void> {
    const { requestId, res } = exchange
    const { response, prefix } = exchange.answer!
    res.writeHead(response.statusCode, selectHeaders(response.headers))
    let complete = true
    if (prefix.complete) {
      res.end(prefix.bytes)
    } else {
      res.write(prefix.bytes)
      // A broken stream destroys the caller's socket, so that the answer cannot be taken for a whole one.
      complete = await pipeline(response.body, res).then(() => true, () => false)
    }
    this.exchanges.delete(requestId)
    this.runtime.dispatch({ slice: 'gateway', type: 'answerEnded', requestId, complete })
  }
}

function describeAttempt (effect: Forward): Record<string, string> {
  return {
    [headers.request]: effect.requestId,
    [headers.attempt]: effect.attemptId,
    [headers.route]: effect.route,
    [headers.service]: effect.service,
    [headers.endpoint]: effect.endpoint,
    [headers.deadline]: String(Math.round(effect.timeout)),
    [headers.fingerprint]: effect.fingerprint,
    ...(effect.team === undefined ? {} : { [headers.team]: effect.team }),
    ...(effect.reference === undefined ? {} : { [headers.reference]: formatReference(effect.reference) })
  }
}

function takeBody (exchange: CallerExchange): Buffer | Readable | null {
  const { body, req } = exchange
  if (body.complete) return body.bytes.length > 0 ? body.bytes : null
  exchange.bodyConsumed = true
  return Readable.from(concatBody(body.bytes, req))
}

async function * concatBody (prefix: Buffer, rest: Readable): AsyncGenerator<Buffer> {
  yield prefix
  yield * rest
}
