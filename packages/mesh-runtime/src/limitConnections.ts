import type { Server } from 'node:http'

/** Interval between two reports about connections that were not accepted. */
const REPORT_INTERVAL_MS = 1_000

/** @internal */
export interface ConnectionLimit {
  readonly maxConnections: number
  /** Called at intervals with the number of connections that were not accepted. */
  readonly onDropped: (count: number) => void
}

/**
 * Limits the connections of a server. Idle ones are closed when there are too many, so that the next caller gets one.
 *
 * @param server - the server
 * @param limit - the limit, and what to do when connections are not accepted
 * @internal
 */
export function limitConnections (server: Server, { maxConnections, onDropped }: ConnectionLimit): void {
  server.maxConnections = maxConnections
  let dropped = 0
  server.on('drop', () => {
    dropped += 1
    if (dropped > 1) return
    server.closeIdleConnections()
    setTimeout(() => {
      onDropped(dropped)
      dropped = 0
    }, REPORT_INTERVAL_MS).unref()
  })
}
