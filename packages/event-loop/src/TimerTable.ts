import type { Millis, TimerId } from '@lavenderturn/types'

/** Keeps a reducer's timers by id and reports their events when they are due. @public */
export class TimerTable<Body> {
  private readonly timers = new Map<TimerId, NodeJS.Timeout>()

  /**
   * @param onDue - called with the event of each timer that is due
   */
  constructor (private readonly onDue: (body: Body) => void) {}

  /**
   * Starts a timer, replacing any timer with the same id.
   *
   * @param id - id of the timer
   * @param delay - time until it is due
   * @param body - the event to report when it is due
   */
  set (id: TimerId, delay: Millis, body: Body): void {
    this.clear(id)
    this.timers.set(id, setTimeout(() => {
      this.timers.delete(id)
      this.onDue(body)
    }, Math.max(0, delay)))
  }

  /** @param id - id of the timer to cancel; unknown ids are ignored */
  clear (id: TimerId): void {
    clearTimeout(this.timers.get(id))
    this.timers.delete(id)
  }

  /** Cancels all timers. */
  stop (): void {
    for (const timer of this.timers.values()) clearTimeout(timer)
    this.timers.clear()
  }
}
