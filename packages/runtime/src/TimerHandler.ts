import type { EventBody, RuntimeEffect } from '@lavenderturn/decisions'
import { TimerTable } from '@lavenderturn/event-loop'
import { EffectHandler } from './EffectHandler'
import type { Runtime } from './Runtime'

/** Runs the timers of the reducer. @internal */
export class TimerHandler extends EffectHandler {
  override readonly slices = ['timer'] as const
  private readonly timers: TimerTable<EventBody>

  constructor (runtime: Runtime) {
    super()
    this.timers = new TimerTable((event) => { runtime.dispatch(event) })
  }

  override run (effect: RuntimeEffect): void {
    if (effect.slice !== 'timer') return
    if (effect.type === 'clear') this.timers.clear(effect.id)
    else this.timers.set(effect.id, effect.delay, effect.event)
  }

  override async stop (): Promise<void> {
    this.timers.stop()
  }
}
