import type { MeshEffect } from '@lavenderturn/mesh'
import type { CallerServer } from './gateway/CallerServer'
import { MeshEffectHandler } from './MeshRuntime'

/** @internal */
export interface LifecycleHandlerOptions {
  readonly callerServer: CallerServer
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
    else this.options.end()
  }
}
