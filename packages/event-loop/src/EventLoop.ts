import { type ActorSystemRef, dispatch, type Ref, spawn, start, stop } from 'nact'

/** @public */
export interface EventLoopOptions<Body, Event> {
  /** Adds the current time to an event. */
  readonly addTimestamp: (body: Body) => Event
  /** Reduces one event and runs its effects. */
  readonly step: (event: Event) => void
}

/** Passes events to a reducer one at a time, either synchronously or through the mailbox of an actor. @public */
export class EventLoop<Body, Event> {
  /** Actor system of the process; handlers may spawn their own actors in it. */
  readonly system: ActorSystemRef = start()
  private readonly options: EventLoopOptions<Body, Event>
  private readonly reducerActor: Ref<Body>
  private readonly pending: Event[] = []
  private isReducing = false

  constructor (options: EventLoopOptions<Body, Event>) {
    this.options = options
    this.reducerActor = spawn(this.system, (_: undefined, body: Body) => {
      this.dispatch(body)
      return undefined
    }, 'reducer')
  }

  /**
   * Reduces an event synchronously. For events on the request path and for timers.
   *
   * @param body - the event without its timestamp
   */
  dispatch (body: Body): void {
    this.pending.push(this.options.addTimestamp(body))
    // An effect may dispatch an event synchronously; it is reduced after the current step, not inside it.
    if (this.isReducing) return
    this.isReducing = true
    try {
      for (let event = this.pending.shift(); event !== undefined; event = this.pending.shift()) this.options.step(event)
    } finally {
      this.isReducing = false
    }
  }

  /**
   * Queues an event in the mailbox of the reducer's actor; it is reduced in a later turn of the event loop.
   *
   * @param body - the event; its timestamp is added when it is reduced
   */
  enqueue (body: Body): void {
    dispatch(this.reducerActor, body)
  }

  /** Stops the actor system. */
  stop (): void {
    stop(this.system)
  }
}
