import type { Announcement } from '@lavenderturn/mesh'
import type { EndpointId } from '@lavenderturn/types'

/** A decoded call of a backend server. @public */
export type AnnouncementCall =
  | { readonly kind: 'announced', readonly announcement: Announcement }
  /** `startedAt`: wall-clock time at which the process that leaves was started, if reported. */
  | { readonly kind: 'withdrawn', readonly endpoint: EndpointId, readonly startedAt?: number }
  | { readonly kind: 'invalid', readonly reason: string }
  | { readonly kind: 'unknown' }

/** Protocol by which the backend servers of a deployment announce themselves. @public */
export abstract class AnnouncementProtocol {
  /**
   * @param method - HTTP method
   * @param path - path without query
   * @param body - the request body
   * @returns the decoded call
   */
  abstract parseCall (method: string, path: string, body: Buffer): AnnouncementCall
}
