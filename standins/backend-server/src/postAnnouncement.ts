import { request } from 'node:http'

/** @internal */
export interface AnnouncementBody {
  readonly service: string
  readonly address: string
  readonly slots: number
  readonly bootId: string
  readonly state: 'serving' | 'draining' | 'leaving'
}

/** Shorter than the announcement interval of 1 s, so that announcements do not overlap. */
const ANNOUNCEMENT_TIMEOUT_MS = 900

/**
 * Announces a backend server to its local node. Failures are ignored because announcements repeat periodically.
 *
 * @param adminAddress - `host:port` of the node's admin port
 * @param body - the announcement
 * @internal
 */
export function postAnnouncement (adminAddress: string, body: AnnouncementBody): void {
  const text = JSON.stringify(body)
  const req = request(`http://${adminAddress}/announce`, {
    method: 'POST',
    timeout: ANNOUNCEMENT_TIMEOUT_MS,
    headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }
  })
  req.on('timeout', () => { req.destroy() })
  req.on('error', () => {})
  req.on('response', (res) => { res.resume() })
  req.end(text)
}
