import type { RuntimeEffect } from '@lavenderturn/decisions'

/** Runs the effects of one or more slices. @public */
export abstract class EffectHandler {
  /** Slices whose effects this handler runs. */
  abstract readonly slices: ReadonlyArray<RuntimeEffect['slice']>

  /**
   * Starts an effect. Its result is reported as an event.
   *
   * @param effect - an effect of one of `slices`
   */
  abstract run (effect: RuntimeEffect): void

  /**
   * Releases the resources of the handler.
   *
   * @returns a promise that resolves when they are closed
   */
  async stop (): Promise<void> {}
}
