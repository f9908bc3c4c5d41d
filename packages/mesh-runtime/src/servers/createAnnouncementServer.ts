import type { ConsolaInstance } from 'consola'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { MeshRuntime } from '../MeshRuntime'
import { readBody } from '../readBody'
import type { AnnouncementCall, AnnouncementProtocol } from './AnnouncementProtocol'

const MAX_BODY_BYTES = 65_536

/** @internal */
export interface AnnouncementServerOptions {
  readonly runtime: MeshRuntime
  readonly protocol: AnnouncementProtocol
  readonly log: ConsolaInstance
}

/**
 * Creates the HTTP server to which the backend server of this instance announces itself. A call is acknowledged only
 * after the reducer has processed it, so that this node sends nothing more to a server whose departure it acknowledged.
 *
 * @param options - the runtime and the protocol
 * @returns the server, not listening
 * @internal
 */
export function createAnnouncementServer (options: AnnouncementServerOptions): Server {
  return createServer((req, res) => { void handleCall(options, req, res) })
}

async function handleCall (
  { runtime, protocol, log }: AnnouncementServerOptions,
  req: IncomingMessage,
  res: ServerResponse
): Promise<void> {
  let body: Buffer
  try {
    body = await readBody(req, { maxBytes: MAX_BODY_BYTES })
  } catch (err) {
    log.warn('announcement not read', { error: String(err) })
    res.destroy()
    return
  }
  const path = (req.url ?? '/').split('?', 1)[0]!
  const call = protocol.parseCall(req.method ?? 'GET', path, body)
  dispatchCall(runtime, call)
  if (call.kind === 'invalid') log.warn('announcement ignored', { reason: call.reason })
  const status = call.kind === 'unknown' ? 404 : call.kind === 'invalid' ? 400 : 200
  const text = status === 200 ? '{}' : ''
  res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': String(text.length) })
  res.end(text)
}

function dispatchCall (runtime: MeshRuntime, call: AnnouncementCall): void {
  switch (call.kind) {
    case 'announced':
      runtime.dispatch({ slice: 'admission', type: 'serverAnnounced', announcement: call.announcement })
      break
    case 'withdrawn': {
      const { endpoint, startedAt } = call
      runtime.dispatch({ slice: 'admission', type: 'serverWithdrawn', endpoint, startedAt })
      break
    }
    case 'invalid':
    case 'unknown':
  }
}
