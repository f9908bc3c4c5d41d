import type { EndpointId, Millis } from '@lavenderturn/types'

/** @public */
export interface AnnouncementState {
  /** When each backend server announced itself last. */
  readonly announcedAt: Map<EndpointId, Millis>
}

/**
 * @returns the state of a node without backend servers
 * @internal
 */
export function createAnnouncementState (): AnnouncementState {
  return { announcedAt: new Map() }
}
