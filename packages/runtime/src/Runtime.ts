import {
  createEvent, type EventBody, type NodeEvent, type NodeState, type OutwardEffect, reduce
} from '@lavenderturn/decisions'
import { EventLoop } from '@lavenderturn/event-loop'
import { dispatch, type Ref, spawnStateless } from 'nact'
import { Clock, ProcessClock } from './Clock'
import type { EffectHandler } from './EffectHandler'

/** Sees every step of the reducer; keeps counters or the time line. @public */
export abstract class StepObserver {
  /**
   * @param event - the event of the step
   * @param effects - its effects
   */
  abstract observe (event: NodeEvent, effects: readonly OutwardEffect[]): void
}

/** @public */
export interface RuntimeOptions {
  readonly state: NodeState
  readonly clock?: Clock
  readonly observers?: readonly StepObserver[]
}

/**
 * Effects of the request path run in the turn that caused them: a hop through an actor's mailbox waits for an
 * event-loop turn.
 */
const REQUEST_PATH_SLICES: ReadonlySet<OutwardEffect['slice']> = new Set([
  'gateway', 'admission', 'idempotency', 'limits', 'timer', 'log'
])

/** Feeds events to the reducer and its effects to the handlers. @public */
export class Runtime {
  readonly clock: Clock
  private readonly state: NodeState
  private readonly observers: readonly StepObserver[]
  private readonly loop: EventLoop<EventBody, NodeEvent>
  private readonly handlers = new Map<OutwardEffect['slice'], { handler: EffectHandler, actor: Ref<OutwardEffect> }>()

  constructor ({ state, clock = new ProcessClock(), observers = [] }: RuntimeOptions) {
    this.state = state
    this.clock = clock
    this.observers = observers
    this.loop = new EventLoop({
      stamp: (body) => createEvent(body, this.clock.now()),
      step: (event) => { this.step(event) }
    })
  }

  /**
   * Adds a handler as a child actor of the system.
   *
   * @param handler - the handler
   */
  addHandler (handler: EffectHandler): void {
    const name = handler.slices.join('-')
    const actor: Ref<OutwardEffect> = spawnStateless(
      this.loop.system, (effect: OutwardEffect) => { handler.run(effect) }, name
    )
    for (const slice of handler.slices) this.handlers.set(slice, { handler, actor })
  }

  /**
   * Reduces an event in the calling turn. For events of the request path, and for timers.
   *
   * @param body - the event; the runtime adds the time
   */
  dispatch (body: EventBody): void {
    this.loop.dispatch(body)
  }

  /**
   * Puts a control event into the mailbox of the reducer's actor.
   *
   * @param body - the event; the runtime adds the time when it is reduced
   */
  tell (body: EventBody): void {
    this.loop.tell(body)
  }

  /**
   * Reads from the state, for reports. The state must not be changed.
   *
   * @param read - takes what is needed from the state
   * @returns what `read` returned
   */
  query<Result> (read: (state: Readonly<NodeState>) => Result): Result {
    return read(this.state)
  }

  /**
   * Stops the actors and all handlers.
   *
   * @returns when all handlers have stopped
   */
  async stop (): Promise<void> {
    this.loop.stop()
    const handlers = new Set([...this.handlers.values()].map(({ handler }) => handler))
    await Promise.all([...handlers].map(async (handler) => await handler.stop()))
  }

  private step (event: NodeEvent): void {
    const effects = reduce(this.state, event)
    for (const observer of this.observers) observer.observe(event, effects)
    for (const effect of effects) this.runEffect(effect)
  }

  private runEffect (effect: OutwardEffect): void {
    const entry = this.handlers.get(effect.slice)
    if (entry === undefined) return
    if (REQUEST_PATH_SLICES.has(effect.slice)) entry.handler.run(effect)
    else dispatch(entry.actor, effect)
  }
}
