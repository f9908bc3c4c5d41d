import type { Announcement } from '@lavenderturn/mesh'
import type { EndpointId } from '@lavenderturn/types'

/** What a call of a backend server says. @public */
export type AnnouncementCall =
  | { readonly kind: 'announced', readonly announcement: Announcement }
  /** `startedAt`: time of day at which the life that ends began, if the server says it. */
  | { readonly kind: 'withdrawn', readonly endpoint: EndpointId, readonly startedAt?: number }
  | { readonly kind: 'invalid', readonly reason: string }
  | { readonly kind: 'unknown' }

/** How the backend servers of a deployment announce themselves. @public */
export abstract class AnnouncementProtocol {
  /**
   * @param method - HTTP method
   * @param path - path without query
   * @param body - the body
   * @returns what the call says
   */
  abstract read (method: string, path: string, body: Buffer): AnnouncementCall
}
