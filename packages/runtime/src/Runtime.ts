import {
  createEvent, type EventBody, type NodeEvent, type NodeState, type RuntimeEffect, reduce
} from '@lavenderturn/decisions'
import { EventLoop } from '@lavenderturn/event-loop'
import { dispatch, type Ref, spawnStateless } from 'nact'
import { Clock, ProcessClock } from './Clock'
import type { EffectHandler } from './EffectHandler'

/** Observes every step of the reducer, for metrics and the journal. @public */
export abstract class StepObserver {
  /**
   * @param event - the event that was reduced
   * @param effects - the effects that the reducer returned
   */
  abstract observe (event: NodeEvent, effects: readonly RuntimeEffect[]): void
}

/** @public */
export interface RuntimeOptions {
  readonly state: NodeState
  readonly clock?: Clock
  readonly observers?: readonly StepObserver[]
}

/**
 * Effects of the request path run synchronously, because delivery through an actor's mailbox waits for a turn of the
 * event loop.
 */
const REQUEST_PATH_SLICES: ReadonlySet<RuntimeEffect['slice']> = new Set([
  'gateway', 'admission', 'idempotency', 'limits', 'timer', 'log'
])

/** Passes events to the reducer and runs its effects through the handlers. @public */
export class Runtime {
  readonly clock: Clock
  private readonly state: NodeState
  private readonly observers: readonly StepObserver[]
  private readonly loop: EventLoop<EventBody, NodeEvent>
  private readonly handlers = new Map<RuntimeEffect['slice'], { handler: EffectHandler, actor: Ref<RuntimeEffect> }>()

  constructor ({ state, clock = new ProcessClock(), observers = [] }: RuntimeOptions) {
    this.state = state
    this.clock = clock
    this.observers = observers
    this.loop = new EventLoop({
      addTimestamp: (body) => createEvent(body, this.clock.now()),
      step: (event) => { this.step(event) }
    })
  }

  /**
   * Registers a handler and spawns an actor for it.
   *
   * @param handler - the handler
   */
  addHandler (handler: EffectHandler): void {
    const name = handler.slices.join('-')
    const actor: Ref<RuntimeEffect> = spawnStateless(
      this.loop.system, (effect: RuntimeEffect) => { handler.run(effect) }, name
    )
    for (const slice of handler.slices) this.handlers.set(slice, { handler, actor })
  }

  /**
   * Reduces an event synchronously. For events on the request path and for timers.
   *
   * @param body - the event; the runtime adds the timestamp
   */
  dispatch (body: EventBody): void {
    this.loop.dispatch(body)
  }

  /**
   * Queues an event in the mailbox of the reducer's actor; it is reduced in a later turn of the event loop. For events
   * outside the request path.
   *
   * @param body - the event; the runtime adds the timestamp when it is reduced
   */
  enqueue (body: EventBody): void {
    this.loop.enqueue(body)
  }

  /**
   * Reads from the state, which must not be modified.
   *
   * @param read - selects a value from the state
   * @returns the selected value
   */
  query<Result> (read: (state: Readonly<NodeState>) => Result): Result {
    return read(this.state)
  }

  /**
   * Stops the actors and all handlers.
   *
   * @returns a promise that resolves when all handlers have stopped
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

  private runEffect (effect: RuntimeEffect): void {
    const entry = this.handlers.get(effect.slice)
    if (entry === undefined) return
    if (REQUEST_PATH_SLICES.has(effect.slice)) entry.handler.run(effect)
    else dispatch(entry.actor, effect)
  }
}
