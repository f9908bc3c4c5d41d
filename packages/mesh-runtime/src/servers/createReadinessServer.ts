import { createServer, type Server } from 'node:http'
import type { MeshRuntime } from '../MeshRuntime'

/** @internal */
export interface ReadinessServerOptions {
  readonly runtime: MeshRuntime
  /** Path of the readiness check. */
  readonly path: string
}

/**
 * Creates the HTTP server for readiness checks. A node is ready while it has a configuration, knows the
 * other nodes and is not shutting down.
 *
 * @param options - the runtime and the path
 * @returns the server, not listening
 * @internal
 */
export function createReadinessServer ({ runtime, path }: ReadinessServerOptions): Server {
  return createServer((req, res) => {
    const { ready, note } = runtime.query(({ configuration, directory, lifecycle }) => ({
      ready: configuration.current !== undefined && directory.registered && !lifecycle.stopping,
      // Routes that need no key are still served, so the node stays ready and states what is wrong.
      note: configuration.unreadable === undefined ? '' : `configuration cannot be read: ${configuration.unreadable}`
    }))
    const status = req.url !== path ? 404 : ready ? 200 : 503
    res.writeHead(status, { 'content-length': String(Buffer.byteLength(note)) }).end(note)
  })
}
