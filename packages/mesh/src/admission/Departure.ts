import type { EndpointId } from '@lavenderturn/types'
import type { Announcement } from './AdmissionEvent'

/** An incarnation of a backend server that has said that it is shutting down. @public */
export interface Departure {
  readonly endpoint: EndpointId
  /** Time of day at which the incarnation started; earlier ones have ended as well. */
  readonly startedAt: number
}

/**
 * @param departure - the latest departure on this instance, if any
 * @param announcement - a backend server
 * @returns whether the server has left
 * @internal
 */
export function hasDeparted (
  departure: Departure | undefined,
  { endpoint, startedAt }: Pick<Announcement, 'endpoint' | 'startedAt'>
): boolean {
  return departure?.endpoint === endpoint && startedAt <= departure.startedAt
}
