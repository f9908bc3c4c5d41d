import type { Duplex } from 'node:stream'
import { ConnectionResponses } from './ConnectionResponses'

/** The open connections of an HTTP server. @public */
export class ServerConnections {
  private readonly connections = new Map<Duplex, ConnectionResponses>()

  /**
   * @param socket - a connection of the server
   * @returns its responses
   */
  get (socket: Duplex): ConnectionResponses {
    const known = this.connections.get(socket)
    if (known !== undefined) return known
    const connection = new ConnectionResponses(socket)
    this.connections.set(socket, connection)
    socket.once('close', () => { this.connections.delete(socket) })
    return connection
  }
}
