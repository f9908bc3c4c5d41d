import { TimerTable } from '@lavenderturn/event-loop'
import type { EventBody, MeshEffect } from '@lavenderturn/mesh'
import { MeshEffectHandler, type MeshRuntime } from './MeshRuntime'

/** Runs the timer effects of the reducer. @internal */
export class TimerHandler extends MeshEffectHandler {
  override readonly slices = ['timer'] as const
  private readonly timers: TimerTable<EventBody>

  constructor (runtime: MeshRuntime) {
    super()
    this.timers = new TimerTable((event) => { runtime.dispatch(event) })
  }

  override run (effect: MeshEffect): void {
    if (effect.slice !== 'timer') return
    if (effect.type === 'clear') this.timers.clear(effect.id)
    else this.timers.set(effect.id, effect.delay, effect.event)
  }

  override stop (): void {
    this.timers.stop()
  }
}
