import type { Millis, TimerId } from '@lavenderturn/types'

/** The timers of a reducer. @public */
export class TimerTable<Body> {
  private readonly timers = new Map<TimerId, NodeJS.Timeout>()

  /**
   * @param fire - takes the event of a timer that is due
   */
  constructor (private readonly fire: (body: Body) => void) {}

  /**
   * Starts a timer; one of the same id is replaced.
   *
   * @param id - the timer
   * @param delay - time until it is due
   * @param body - the event that it brings
   */
  set (id: TimerId, delay: Millis, body: Body): void {
    this.clear(id)
    this.timers.set(id, setTimeout(() => {
      this.timers.delete(id)
      this.fire(body)
    }, Math.max(0, delay)))
  }

  /** @param id - a timer that is not needed any more */
  clear (id: TimerId): void {
    clearTimeout(this.timers.get(id))
    this.timers.delete(id)
  }

  /** Clears all timers. */
  stop (): void {
    for (const timer of this.timers.values()) clearTimeout(timer)
    this.timers.clear()
  }
}
