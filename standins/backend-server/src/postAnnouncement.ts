import { request } from 'node:http'

/** @internal */
export interface AnnouncementBody {
  readonly service: string
  readonly address: string
  readonly slots: number
  readonly bootId: string
  readonly state: 'serving' | 'draining' | 'leaving'
}

/** A node that does not answer gets the next announcement a second later. */
const TIMEOUT_MS = 900

/**
 * Announces a backend server to the node beside it. A failure is ignored: the next announcement follows.
 *
 * @param adminAddress - `host:port` of the node's admin port
 * @param body - the announcement
 * @internal
 */
export function postAnnouncement (adminAddress: string, body: AnnouncementBody): void {
  const text = JSON.stringify(body)
  const req = request(`http://${adminAddress}/announce`, {
    method: 'POST',
    timeout: TIMEOUT_MS,
    headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }
  })
  req.on('timeout', () => { req.destroy() })
  req.on('error', () => {})
  req.on('response', (res) => { res.resume() })
  req.end(text)
}
