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
    const ready = runtime.query(({ configuration, directory, lifecycle }) =>
      configuration.current !== undefined && directory.registered && !lifecycle.stopping)
    const status = req.url !== path ? 404 : ready ? 200 : 503
    res.writeHead(status, { 'content-length': '0' }).end()
  })
}
