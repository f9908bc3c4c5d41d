import type { SoakEvent } from '../SoakEvent'
import type { SoakState } from '../SoakState'

/** Checks one guarantee of the product from the view of callers and backend servers. @public */
export abstract class InvariantCheck {
  /** Name of the check in reports. */
  abstract readonly name: string

  /**
   * Checks an event, after the reducer has applied it to the state.
   *
   * @param state - state after the event
   * @param event - the event
   * @returns violations
   */
  checkEvent (state: SoakState, event: SoakEvent): string[] {
    return []
  }

  /**
   * Checks the whole run at its end.
   *
   * @param state - final state
   * @returns violations
   */
  checkFinalState (state: SoakState): string[] {
    return []
  }
}
