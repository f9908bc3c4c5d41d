import type { RaiseEffect } from './NodeEffect'
import type { EventBody } from './NodeEvent'

/**
 * Makes an effect that hands an event to another slice within the same step.
 *
 * @param event - the event, without its time
 * @returns the effect
 * @public
 */
export function raise (event: EventBody): RaiseEffect {
  return { slice: 'reducer', type: 'raise', event }
}
