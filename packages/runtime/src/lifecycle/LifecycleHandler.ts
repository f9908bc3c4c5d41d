import type { OutwardEffect } from '@lavenderturn/decisions'
import { setTimeout as delay } from 'node:timers/promises'
import { EffectHandler } from '../EffectHandler'
import type { Runtime } from '../Runtime'
import type { ExchangeCounter } from './ExchangeCounter'

/** Time in which a request that was on its way when the ports closed shows up as an open exchange. */
const LAST_REQUEST_MS = 500

/** A server whose port a planned stop closes: `http.Server`, or the HTTP/2 server of the control port. @public */
export interface ClosableServer {
  readonly listening: boolean
  close: (done?: (err?: Error) => void) => unknown
  closeAllConnections?: () => void
}

/** @public */
export interface LifecycleHandlerOptions {
  readonly runtime: Runtime
  readonly counter: ExchangeCounter
  /** Ends the process; by default nothing happens, so that tests go on. */
  readonly exit?: (code: number) => void
}

/** Runs a planned stop: readiness, closing of connections and ports, exit. @public */
export class LifecycleHandler extends EffectHandler {
  override readonly slices = ['lifecycle'] as const
  private readonly options: LifecycleHandlerOptions
  private readonly servers: ClosableServer[] = []
  private ready = true

  constructor (options: LifecycleHandlerOptions) {
    super()
    this.options = options
  }

  /** Whether the node takes new callers. */
  get isReady (): boolean {
    return this.ready
  }

  /**
   * Adds a server whose port a planned stop closes.
   *
   * @param server - the server
   */
  addServer (server: ClosableServer): void {
    this.servers.push(server)
  }

  override run (effect: OutwardEffect): void {
    if (effect.slice !== 'lifecycle') return
    switch (effect.type) {
      case 'setReadiness':
        this.ready = effect.ready
        break
      case 'closeAfterAnswers':
        this.options.counter.startClosing()
        break
      case 'awaitIdle':
        void this.awaitIdle()
        break
      case 'closeListeners':
        void this.closeListeners()
        break
      case 'exit':
        this.options.exit?.(effect.code)
    }
  }

  private async awaitIdle (): Promise<void> {
    await this.options.counter.whenIdle()
    this.options.runtime.tell({ slice: 'lifecycle', type: 'idleReached' })
  }

  private async closeListeners (): Promise<void> {
    const { counter, runtime } = this.options
    const closed = Promise.all(this.servers.map(closeServer))
    // Connections that never sent a request stay open until the end; those with one finish it.
    do {
      await counter.whenIdle()
      await Promise.race([closed, delay(LAST_REQUEST_MS, undefined, { ref: false })])
    } while (counter.count > 0)
    for (const server of this.servers) server.closeAllConnections?.()
    runtime.tell({ slice: 'lifecycle', type: 'listenersClosed' })
  }
}

async function closeServer (server: ClosableServer): Promise<void> {
  if (!server.listening) return
  await new Promise<void>((resolve) => { server.close(() => { resolve() }) })
}
