import type { MeshEffect } from '@lavenderturn/mesh'
import type { ConsolaInstance } from 'consola'
import { MeshEffectHandler } from './MeshRuntime'

/** Writes the log lines that the reducer emits. @internal */
export class LogHandler extends MeshEffectHandler {
  override readonly slices = ['log'] as const

  constructor (private readonly log: ConsolaInstance) {
    super()
  }

  override run (effect: MeshEffect): void {
    if (effect.slice === 'log') this.log[effect.level](effect.message, effect.fields)
  }
}
