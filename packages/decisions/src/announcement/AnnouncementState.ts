import type { EndpointId, Millis } from '@lavenderturn/types'

/** @public */
export interface AnnouncementState {
  /** When each backend server last sent an announcement. */
  readonly lastAnnouncedAt: Map<EndpointId, Millis>
}

/**
 * @returns the state of a node without backend servers
 * @internal
 */
export function createAnnouncementState (): AnnouncementState {
  return { lastAnnouncedAt: new Map() }
}
