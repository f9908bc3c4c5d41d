import { EventLoop } from '@lavenderturn/event-loop'
import { type EventBody, type MeshEffect, type MeshEvent, type MeshState, reduceMesh } from '@lavenderturn/mesh'
import { millis } from '@lavenderturn/types'

/** Runs the effects of one or more slices. @public */
export abstract class MeshEffectHandler {
  /** Slices whose effects come to this handler. */
  abstract readonly slices: ReadonlyArray<MeshEffect['slice']>

  /**
   * Starts an effect; what comes of it is reported as an event.
   *
   * @param effect - an effect of one of `slices`
   */
  abstract run (effect: MeshEffect): void

  /** Frees what the handler holds. */
  stop (): void {}
}

/** Sees every step of the reducer; keeps counters. @public */
export abstract class MeshObserver {
  /**
   * @param event - the event of the step
   * @param effects - its effects
   */
  abstract observe (event: MeshEvent, effects: readonly MeshEffect[]): void
}

/** @public */
export interface MeshRuntimeOptions {
  readonly state: MeshState
  readonly observers?: readonly MeshObserver[]
}

/** Feeds events to the reducer and its effects to the handlers. @public */
export class MeshRuntime {
  private readonly state: MeshState
  private readonly observers: readonly MeshObserver[]
  private readonly handlers = new Map<MeshEffect['slice'], MeshEffectHandler>()
  private readonly loop = new EventLoop<EventBody, MeshEvent>({
    stamp: (body) => ({ ...body, at: millis(performance.now()), wallAt: millis(Date.now()) }),
    step: (event) => { this.step(event) }
  })

  constructor ({ state, observers = [] }: MeshRuntimeOptions) {
    this.state = state
    this.observers = observers
  }

  /** @param handler - a handler for the effects of its slices */
  addHandler (handler: MeshEffectHandler): void {
    for (const slice of handler.slices) this.handlers.set(slice, handler)
  }

  /**
   * Reduces an event in the calling turn. For events of the request path, and for timers.
   *
   * @param body - the event; the runtime adds the times
   */
  dispatch (body: EventBody): void {
    this.loop.dispatch(body)
  }

  /**
   * Reduces an event in a later turn of the event loop.
   *
   * @param body - the event; the runtime adds the times when it is reduced
   */
  tell (body: EventBody): void {
    this.loop.tell(body)
  }

  /**
   * Reads from the state. The state must not be changed.
   *
   * @param read - takes what is needed from the state
   * @returns what `read` returned
   */
  query<Result> (read: (state: Readonly<MeshState>) => Result): Result {
    return read(this.state)
  }

  /** Stops the actors and all handlers. */
  stop (): void {
    this.loop.stop()
    for (const handler of new Set(this.handlers.values())) handler.stop()
  }

  private step (event: MeshEvent): void {
    const effects = reduceMesh(this.state, event)
    for (const observer of this.observers) observer.observe(event, effects)
    for (const effect of effects) this.handlers.get(effect.slice)?.run(effect)
  }
}
