import type { OutwardEffect } from '@lavenderturn/decisions'

/** Runs the effects of one or more slices. @public */
export abstract class EffectHandler {
  /** Slices whose effects come to this handler. */
  abstract readonly slices: ReadonlyArray<OutwardEffect['slice']>

  /**
   * Starts an effect; what comes of it is reported as an event.
   *
   * @param effect - an effect of one of `slices`
   */
  abstract run (effect: OutwardEffect): void

  /**
   * Frees what the handler holds.
   *
   * @returns when everything is closed
   */
  async stop (): Promise<void> {}
}
