import type { AnnouncementId, MeshEffect } from '@lavenderturn/mesh'
import { toId } from '@lavenderturn/types'
import type { ConsolaInstance } from 'consola'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { MeshEffectHandler, type MeshRuntime } from '../MeshRuntime'
import { BodyTooLargeError } from '../body/bodyErrors'
import { readBody } from '../body/readBody'
import type { AnnouncementCall, AnnouncementProtocol } from './AnnouncementProtocol'

const MAX_BODY_BYTES = 65_536

/** Time for the rest of a body that is too long. */
const BODY_END_TIMEOUT_MS = 1_000

/** @internal */
export interface AnnouncementServerOptions {
  readonly runtime: MeshRuntime
  readonly protocol: AnnouncementProtocol
  readonly log: ConsolaInstance
}

/**
 * The HTTP server to which the backend server of this instance announces itself. A call is acknowledged when the
 * reducer says so, so that this node sends nothing more to a server whose departure it acknowledged.
 *
 * @internal
 */
export class AnnouncementServer extends MeshEffectHandler {
  override readonly slices = ['announcement'] as const
  readonly server: Server = createServer((req, res) => { void this.handleCall(req, res) })
  private readonly responses = new Map<AnnouncementId, ServerResponse>()
  private nextCall = 0

  constructor (private readonly options: AnnouncementServerOptions) {
    super()
  }

  override run (effect: MeshEffect): void {
    if (effect.slice !== 'announcement') return
    const res = this.responses.get(effect.call)
    if (res !== undefined) respond(res, effect.accepted ? 200 : 503)
  }

  private async handleCall (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { protocol, log } = this.options
    let body: Buffer
    try {
      body = (await readBody(req, { maxBytes: MAX_BODY_BYTES })).concat()
    } catch (err) {
      log.warn('announcement not read', { error: String(err) })
      if (err instanceof BodyTooLargeError) rejectTooLarge(req, res)
      else res.destroy()
      return
    }
    const path = (req.url ?? '/').split('?', 1)[0]!
    this.dispatchCall(protocol.parseCall(req.method ?? 'GET', path, body), res)
  }

  private dispatchCall (content: AnnouncementCall, res: ServerResponse): void {
    const { runtime, log } = this.options
    switch (content.kind) {
      case 'announced': {
        const { announcement } = content
        runtime.dispatch({ slice: 'admission', type: 'serverAnnounced', announcement, call: this.registerCall(res) })
        break
      }
      case 'withdrawn': {
        const { endpoint, startedAt } = content
        runtime.dispatch({ slice: 'admission', type: 'serverWithdrawn', endpoint, startedAt, call: this.registerCall(res) })
        break
      }
      case 'invalid':
        log.warn('announcement ignored', { reason: content.reason })
        respond(res, 400)
        break
      case 'unknown':
        respond(res, 404)
    }
  }

  private registerCall (res: ServerResponse): AnnouncementId {
    const call = toId<AnnouncementId>(`call-${this.nextCall++}`)
    this.responses.set(call, res)
    res.once('close', () => { this.responses.delete(call) })
    return call
  }
}

/** Responds once the rest of the body has come, because a connection that is closed before may lose the response. */
function rejectTooLarge (req: IncomingMessage, res: ServerResponse): void {
  const timeout = setTimeout(() => { res.destroy() }, BODY_END_TIMEOUT_MS)
  req.once('end', () => { respond(res, 413) })
  req.once('close', () => { clearTimeout(timeout) })
}

function respond (res: ServerResponse, status: number): void {
  const text = status === 200 ? '{}' : ''
  res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': String(text.length) })
  res.end(text)
}
