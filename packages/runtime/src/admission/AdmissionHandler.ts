import {
  describeLoad, type Dispatch, type FailWork, type LoadReport, type OutwardEffect, type Reject, type WorkOutcome
} from '@lavenderturn/decisions'
import { type AttemptId, resultCodes, type ResultName, toId } from '@lavenderturn/types'
import { pipeline } from 'node:stream/promises'
import { Agent, type Dispatcher } from 'undici'
import { EffectHandler } from '../EffectHandler'
import { headers, selectHeaders } from '../headers'
import { isConnectError } from '../isConnectError'
import { formatLoad } from '../loadHeader'
import type { Runtime } from '../Runtime'
import type { ForwardExchange } from './ForwardExchange'

/** Dispatches attempts to the backend servers beside this node. @public */
export class AdmissionHandler extends EffectHandler {
  override readonly slices = ['admission'] as const
  private readonly exchanges = new Map<AttemptId, ForwardExchange>()
  private readonly agent = new Agent({ headersTimeout: 0, bodyTimeout: 0 })

  constructor (private readonly runtime: Runtime) {
    super()
  }

  /**
   * Takes over a gateway's attempt before its arrival is reduced.
   *
   * @param attemptId - the attempt
   * @param exchange - request and response
   */
  open (attemptId: AttemptId, exchange: ForwardExchange): void {
    this.exchanges.set(attemptId, exchange)
    exchange.res.once('close', () => {
      if (!this.exchanges.delete(attemptId)) return
      this.runtime.dispatch({ slice: 'admission', type: 'workCancelled', attemptId })
    })
  }

  override run (effect: OutwardEffect): void {
    if (effect.slice !== 'admission') return
    const exchange = this.exchanges.get(effect.attemptId)
    switch (effect.type) {
      case 'dispatch':
        void this.dispatch(effect, exchange)
        break
      case 'reject':
        if (exchange !== undefined) this.reject(effect.attemptId, exchange, effect)
        break
      case 'failWork':
        if (exchange !== undefined) this.fail(effect, exchange)
        break
      case 'cancelDispatch':
        exchange?.abort?.abort()
    }
  }

  override async stop (): Promise<void> {
    await this.agent.close()
  }

  private reject (attemptId: AttemptId, { res }: ForwardExchange, { result, load }: Reject): void {
    this.exchanges.delete(attemptId)
    const status = resultCodes[result].status
    res.writeHead(status, { [headers.attempt]: attemptId, [headers.result]: result, ...formatLoadHeader(load) })
    res.end()
  }

  private fail ({ attemptId, crashedBoot, load }: FailWork, { res }: ForwardExchange): void {
    this.exchanges.delete(attemptId)
    const result: ResultName = 'outcomeUnknown'
    res.writeHead(resultCodes[result].status, {
      [headers.attempt]: attemptId,
      [headers.result]: result,
      ...(crashedBoot === undefined ? {} : { [headers.crashedBoot]: crashedBoot }),
      ...formatLoadHeader(load)
    })
    res.end()
  }

  private async dispatch (effect: Dispatch, exchange: ForwardExchange | undefined): Promise<void> {
    const outcome = exchange === undefined
      ? { kind: 'failed', reason: 'reset', sent: false } as const
      : await this.exchangeWithServer(effect, exchange)
    // A failure is answered by `failWork` or `reject`, unless the answer has begun.
    if (outcome.kind === 'answered' || exchange?.res.headersSent === true) this.exchanges.delete(effect.attemptId)
    this.runtime.dispatch({ slice: 'admission', type: 'workEnded', attemptId: effect.attemptId, outcome })
  }

  private async exchangeWithServer (effect: Dispatch, exchange: ForwardExchange): Promise<WorkOutcome> {
    const { req, res } = exchange
    exchange.abort = new AbortController()
    try {
      const response = await this.agent.request({
        origin: `http://${effect.address}`,
        path: req.url!,
        method: req.method as Dispatcher.HttpMethod,
        headers: { ...selectHeaders(req.headers), [headers.deadline]: String(Math.round(effect.timeout)) },
        body: hasBody(req.headers) ? req : null,
        signal: exchange.abort.signal
      })
      res.writeHead(response.statusCode, {
        ...selectHeaders(response.headers),
        [headers.attempt]: effect.attemptId,
        ...formatLoadHeader(this.runtime.query((state) => describeLoad(state, effect.endpoint, effect.attemptId)))
      })
      await pipeline(response.body, res)
      const bootId = response.headers[headers.bootId]
      return {
        kind: 'answered',
        status: response.statusCode,
        bootId: typeof bootId === 'string' ? toId(bootId) : undefined
      }
    } catch (err) {
      if (res.headersSent) res.destroy()
      const sent = !isConnectError(err)
      return { kind: 'failed', reason: sent ? 'reset' : 'connect', sent }
    }
  }
}

function formatLoadHeader (load: LoadReport | undefined): Record<string, string> {
  return load === undefined ? {} : { [headers.load]: formatLoad(load) }
}

function hasBody (received: Readonly<Record<string, string | string[] | undefined>>): boolean {
  return received['content-length'] !== undefined || received['transfer-encoding'] !== undefined
}
