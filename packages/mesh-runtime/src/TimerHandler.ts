import type { MeshEffect } from '@lavenderturn/mesh'
import type { TimerId } from '@lavenderturn/types'
import { MeshEffectHandler, type MeshRuntime } from './MeshRuntime'

/** Runs the timers of the reducer. @internal */
export class TimerHandler extends MeshEffectHandler {
  override readonly slices = ['timer'] as const
  private readonly timers = new Map<TimerId, NodeJS.Timeout>()

  constructor (private readonly runtime: MeshRuntime) {
    super()
  }

  override run (effect: MeshEffect): void {
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

  override stop (): void {
    for (const timer of this.timers.values()) clearTimeout(timer)
    this.timers.clear()
  }
}
