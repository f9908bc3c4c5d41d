import { ConnectionResponses } from '@lavenderturn/runtime'
import type { Server } from 'node:http'
import type { Socket } from 'node:net'

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
 * Node itself counts a connection as idle while its response waits to be read by the caller.
 *
 * @param server - the server, whose responses are added to those of their connections
 * @param limit - the limit, and what to do when connections are not accepted
 * @internal
 */
export function limitConnections (server: Server, { maxConnections, onDropped }: ConnectionLimit): void {
  server.maxConnections = maxConnections
  const sockets = new Set<Socket>()
  server.on('connection', (socket: Socket) => {
    sockets.add(socket)
    socket.once('close', () => { sockets.delete(socket) })
  })
  let dropped = 0
  server.on('drop', () => {
    dropped += 1
    if (dropped > 1) return
    for (const socket of sockets) if (ConnectionResponses.of(socket).isIdle) socket.destroy()
    setTimeout(() => {
      onDropped(dropped)
      dropped = 0
    }, REPORT_INTERVAL_MS).unref()
  })
}
