import type { Dispatch, LoadReport, OutwardEffect, WorkOutcome } from '@lavenderturn/decisions'
import { type AttemptId, type EndpointId, resultCodes, type ResultName, toId } from '@lavenderturn/types'
import { pipeline } from 'node:stream/promises'
import { Agent, type Dispatcher } from 'undici'
import { EffectHandler } from '../EffectHandler'
import { headers, selectHeaders } from '../headers'
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
        if (exchange !== undefined) this.reject(effect.attemptId, exchange, effect.result)
        break
      case 'cancelDispatch':
        exchange?.abort?.abort()
    }
  }

  override async stop (): Promise<void> {
    await this.agent.close()
  }

  private reject (attemptId: AttemptId, { res }: ForwardExchange, result: ResultName): void {
    this.exchanges.delete(attemptId)
    res.writeHead(resultCodes[result].status, { [headers.attempt]: attemptId, [headers.result]: result })
    res.end()
  }

  private async dispatch (effect: Dispatch, exchange: ForwardExchange | undefined): Promise<void> {
    const outcome = exchange === undefined
      ? { kind: 'failed', reason: 'reset', sent: false } as const
      : await this.exchangeWithServer(effect, exchange)
    this.exchanges.delete(effect.attemptId)
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
        [headers.load]: formatLoad(this.describeLoad(effect.endpoint))
      })
      await pipeline(response.body, res)
      const bootId = response.headers[headers.bootId]
      return {
        kind: 'answered',
        status: response.statusCode,
        bootId: typeof bootId === 'string' ? toId(bootId) : undefined
      }
    } catch {
      res.destroy()
      return { kind: 'failed', reason: 'reset', sent: true }
    }
  }

  private describeLoad (endpoint: EndpointId): LoadReport {
    return this.runtime.query(({ admission }) => {
      const server = admission.servers.get(endpoint)
      const slots = server?.slots ?? 0
      return {
        slots, limit: slots, inFlight: server?.inFlight ?? 0, queued: server?.queue.length ?? 0, verdict: 'healthy'
      }
    })
  }
}

function hasBody (received: Readonly<Record<string, string | string[] | undefined>>): boolean {
  return received['content-length'] !== undefined || received['transfer-encoding'] !== undefined
}
