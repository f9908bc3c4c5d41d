import type { Server } from 'node:http'

/**
 * Closes idle connections of a server only once what has come on them was read. Timers run before the sockets are read,
 * so that after a time in which the process stood still a connection can be due although a request waits on it.
 *
 * @param server - an HTTP server whose connections have no timeout other than that for idle ones
 * @public
 */
export function closeIdleAfterReading (server: Server): void {
  // With a listener, Node does not close the connection itself.
  server.on('timeout', (socket) => {
    const { bytesRead } = socket
    setImmediate(() => { if (socket.bytesRead === bytesRead) socket.destroy() })
  })
}
