import type { Millis } from '@lavenderturn/types'
import type { EventBody, NodeEvent } from './NodeEvent'

/**
 * Adds the time to the body of an event.
 *
 * @param body - the event without its time
 * @param at - monotonic time
 * @returns the event
 * @public
 */
export function createEvent (body: EventBody, at: Millis): NodeEvent {
  return { ...body, at }
}
