import type { RuntimeEffect } from '@lavenderturn/decisions'
import { setTimeout as delay } from 'node:timers/promises'
import { EffectHandler } from '../EffectHandler'
import type { Runtime } from '../Runtime'
import type { ExchangeCounter } from './ExchangeCounter'

/** Time for requests that were in transit when the ports closed to become open exchanges. */
const LATE_REQUEST_WINDOW_MS = 500

/** A server that is closed by a planned stop: `http.Server`, or the HTTP/2 server of the control port. @public */
export interface ClosableServer {
  readonly listening: boolean
  close: (done?: (err?: Error) => void) => unknown
  closeAllConnections?: () => void
}

/** @public */
export interface LifecycleHandlerOptions {
  readonly runtime: Runtime
  readonly counter: ExchangeCounter
  /** Ends the process; does nothing by default, for tests. */
  readonly exit?: (code: number) => void
}

/** Runs the steps of a planned stop: clears readiness, closes connections and ports, and exits. @public */
export class LifecycleHandler extends EffectHandler {
  override readonly slices = ['lifecycle'] as const
  private readonly options: LifecycleHandlerOptions
  private readonly servers: ClosableServer[] = []
  private ready = true

  constructor (options: LifecycleHandlerOptions) {
    super()
    this.options = options
  }

  /** Whether the node accepts new callers. */
  get isReady (): boolean {
    return this.ready
  }

  /**
   * Registers a server that is closed by a planned stop.
   *
   * @param server - the server
   */
  addServer (server: ClosableServer): void {
    this.servers.push(server)
  }

  override run (effect: RuntimeEffect): void {
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
    await this.options.counter.waitUntilIdle()
    this.options.runtime.enqueue({ slice: 'lifecycle', type: 'idleReached' })
  }

  private async closeListeners (): Promise<void> {
    const { counter, runtime } = this.options
    const closed = Promise.all(this.servers.map(closeServer))
    // `close` waits for connections that never sent a request, so the loop ends when no exchange is open.
    do {
      await counter.waitUntilIdle()
      await Promise.race([closed, delay(LATE_REQUEST_WINDOW_MS, undefined, { ref: false })])
    } while (counter.count > 0)
    for (const server of this.servers) server.closeAllConnections?.()
    runtime.enqueue({ slice: 'lifecycle', type: 'listenersClosed' })
  }
}

async function closeServer (server: ClosableServer): Promise<void> {
  if (!server.listening) return
  await new Promise<void>((resolve) => { server.close(() => { resolve() }) })
}
