import type { MeshEffect } from '@lavenderturn/mesh'
import type { Server } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import type { CallerServer } from './gateway/CallerServer'
import { MeshEffectHandler } from './MeshRuntime'

/** Time to write the last responses. Shorter than what the reducer reserves for the end of the process. */
const FLUSH_TIMEOUT_MS = 300

/** @internal */
export interface LifecycleHandlerOptions {
  readonly callerServer: CallerServer
  /** Server for requests of other nodes. */
  readonly forwardServer: Server
  /** Ends the process. */
  readonly end: () => void
}

/** Runs the effects of a planned shutdown. @internal */
export class LifecycleHandler extends MeshEffectHandler {
  override readonly slices = ['lifecycle'] as const

  constructor (private readonly options: LifecycleHandlerOptions) {
    super()
  }

  override run (effect: MeshEffect): void {
    if (effect.slice !== 'lifecycle') return
    if (effect.type === 'closeKeptConnections') this.options.callerServer.closeKeptConnections()
    else void this.end()
  }

  private async end (): Promise<void> {
    const { callerServer, forwardServer, end } = this.options
    const closing = Promise.all([callerServer.server, forwardServer].map(closeWhenIdle))
    await Promise.race([closing, pause(FLUSH_TIMEOUT_MS)])
    end()
  }
}

/** Accepts no more connections, closes idle ones, and waits until the responses of the others are written. */
async function closeWhenIdle (server: Server): Promise<void> {
  await new Promise<void>((resolve) => {
    server.close(() => { resolve() })
    server.closeIdleConnections()
  })
}
