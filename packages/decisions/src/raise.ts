import type { RaiseEffect } from './NodeEffect'
import type { EventBody } from './NodeEvent'

/**
 * Creates an effect that passes an event to another slice within the same step.
 *
 * @param event - the event, without its time
 * @returns the effect
 * @public
 */
export function raise (event: EventBody): RaiseEffect {
  return { slice: 'reducer', type: 'raise', event }
}
