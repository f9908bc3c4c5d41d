import type { OutwardEffect } from '@lavenderturn/decisions'
import type { TimerId } from '@lavenderturn/types'
import { EffectHandler } from './EffectHandler'
import type { Runtime } from './Runtime'

/** Runs the timers of the reducer. @public */
export class TimerHandler extends EffectHandler {
  override readonly slices = ['timer'] as const
  private readonly timers = new Map<TimerId, NodeJS.Timeout>()

  constructor (private readonly runtime: Runtime) {
    super()
  }

  override run (effect: OutwardEffect): void {
    if (effect.slice !== 'timer') return
    clearTimeout(this.timers.get(effect.id))
    this.timers.delete(effect.id)
    if (effect.type === 'clear') return
    const { id, event } = effect
    this.timers.set(id, setTimeout(() => {
      this.timers.delete(id)
      this.runtime.dispatch(event)
    }, Math.max(0, effect.delay)))
  }

  override async stop (): Promise<void> {
    for (const timer of this.timers.values()) clearTimeout(timer)
    this.timers.clear()
  }
}
