import type { RuntimeEffect } from '@lavenderturn/decisions'
import { type ConsolaInstance, createConsola } from 'consola'
import { EffectHandler } from './EffectHandler'

/** @public */
export interface LogHandlerOptions {
  readonly log?: ConsolaInstance
}

/** Writes a log line for each log effect of the reducer. @public */
export class LogHandler extends EffectHandler {
  override readonly slices = ['log'] as const
  private readonly log: ConsolaInstance

  constructor ({ log = createConsola() }: LogHandlerOptions = {}) {
    super()
    this.log = log
  }

  override run (effect: RuntimeEffect): void {
    if (effect.slice === 'log') this.log.info(effect.message, effect.fields)
  }
}
