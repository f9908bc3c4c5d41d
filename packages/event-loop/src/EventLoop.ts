import { type ActorSystemRef, dispatch, type Ref, spawn, start, stop } from 'nact'

/** @public */
export interface EventLoopOptions<Body, Event> {
  /** Gives an event its time. */
  readonly stamp: (body: Body) => Event
  /** Reduces an event and runs its effects. */
  readonly step: (event: Event) => void
}

/** Feeds events to a reducer one at a time, at once or through the mailbox of an actor. @public */
export class EventLoop<Body, Event> {
  /** The actors of the process; handlers may add children. */
  readonly system: ActorSystemRef = start()
  private readonly options: EventLoopOptions<Body, Event>
  private readonly reducerActor: Ref<Body>
  private readonly pending: Event[] = []
  private reducing = false

  constructor (options: EventLoopOptions<Body, Event>) {
    this.options = options
    this.reducerActor = spawn(this.system, (_: undefined, body: Body) => {
      this.dispatch(body)
      return undefined
    }, 'reducer')
  }

  /**
   * Reduces an event in the calling turn. For events of the request path, and for timers.
   *
   * @param body - the event without its time
   */
  dispatch (body: Body): void {
    this.pending.push(this.options.stamp(body))
    // An effect that reports its event at once must not reduce inside the step that started it.
    if (this.reducing) return
    this.reducing = true
    try {
      for (let event = this.pending.shift(); event !== undefined; event = this.pending.shift()) this.options.step(event)
    } finally {
      this.reducing = false
    }
  }

  /**
   * Puts an event into the mailbox of the reducer's actor: it waits for a turn of the event loop.
   *
   * @param body - the event; it gets its time when it is reduced
   */
  tell (body: Body): void {
    dispatch(this.reducerActor, body)
  }

  /** Stops the actors. */
  stop (): void {
    stop(this.system)
  }
}
