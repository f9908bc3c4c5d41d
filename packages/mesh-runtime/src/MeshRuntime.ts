import { EventLoop } from '@lavenderturn/event-loop'
import { type EventBody, type MeshEffect, type MeshEvent, type MeshState, reduceMesh } from '@lavenderturn/mesh'
import { millis } from '@lavenderturn/types'

/** Runs the effects of one or more slices. @public */
export abstract class MeshEffectHandler {
  /** Slices whose effects this handler runs. */
  abstract readonly slices: ReadonlyArray<MeshEffect['slice']>

  /**
   * Starts an effect. Its result is reported as an event.
   *
   * @param effect - an effect of one of `slices`
   */
  abstract run (effect: MeshEffect): void

  /**
   * Handles an error of `run`. A handler whose effects each belong to one request ends that request; otherwise the
   * error ends the process, because it is not known what is left undone.
   *
   * @param effect - the effect that failed
   * @param err - what `run` threw
   * @throws `err` by default
   */
  handleError (effect: MeshEffect, err: unknown): void {
    throw err
  }

  /** Releases the resources of the handler. */
  stop (): void {}
}

/** Called after every step of the reducer, for example to count events. @public */
export abstract class MeshObserver {
  /**
   * @param event - the event that was reduced
   * @param effects - the effects that the reducer returned
   */
  abstract observe (event: MeshEvent, effects: readonly MeshEffect[]): void
}

/** @public */
export interface MeshRuntimeOptions {
  readonly state: MeshState
  readonly observers?: readonly MeshObserver[]
}

/** Passes events to the reducer and runs its effects through the handlers. @public */
export class MeshRuntime {
  private readonly state: MeshState
  private readonly observers: readonly MeshObserver[]
  private readonly handlers = new Map<MeshEffect['slice'], MeshEffectHandler>()
  private readonly loop = new EventLoop<EventBody, MeshEvent>({
    addTimestamp: (body) => ({ ...body, at: millis(performance.now()), wallAt: millis(Date.now()) }),
    step: (event) => { this.step(event) }
  })

  constructor ({ state, observers = [] }: MeshRuntimeOptions) {
    this.state = state
    this.observers = observers
  }

  /** @param handler - receives the effects of its slices */
  addHandler (handler: MeshEffectHandler): void {
    for (const slice of handler.slices) this.handlers.set(slice, handler)
  }

  /**
   * Reduces an event synchronously. For events on the request path and for timers.
   *
   * @param body - the event; the runtime adds the timestamps
   */
  dispatch (body: EventBody): void {
    this.loop.dispatch(body)
  }

  /**
   * Reduces an event in a later turn of the event loop.
   *
   * @param body - the event; the runtime adds the timestamps when it is reduced
   */
  enqueue (body: EventBody): void {
    this.loop.enqueue(body)
  }

  /**
   * Reads from the state, which must not be modified.
   *
   * @param read - selects from the state
   * @returns the result of `read`
   */
  query<Result> (read: (state: Readonly<MeshState>) => Result): Result {
    return read(this.state)
  }

  /** Stops the event loop and all handlers. */
  stop (): void {
    this.loop.stop()
    for (const handler of new Set(this.handlers.values())) handler.stop()
  }

  private step (event: MeshEvent): void {
    const effects = reduceMesh(this.state, event)
    for (const observer of this.observers) observer.observe(event, effects)
    for (const effect of effects) this.runEffect(effect)
  }

  private runEffect (effect: MeshEffect): void {
    const handler = this.handlers.get(effect.slice)
    try {
      handler?.run(effect)
    } catch (err) {
      handler!.handleError(effect, err)
    }
  }
}
