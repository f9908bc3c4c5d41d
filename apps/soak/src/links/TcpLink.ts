import { once } from 'node:events'
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net'
import type { LinkMode } from './LinkMode'

/** Delay of each chunk of data on a slow link. */
const SLOW_DELAY_MS = 150

/** TCP proxy that injects connection faults. @public */
export class TcpLink {
  private readonly server: Server
  private readonly connections = new Set<readonly [Socket, Socket]>()
  private mode: LinkMode = 'pass'

  /** @param targetPort - returns the loopback port to connect to */
  constructor (private readonly targetPort: () => number) {
    this.server = createServer((socket) => { this.accept(socket) })
  }

  /** @returns the port of the link */
  async open (): Promise<number> {
    this.server.listen(0, '127.0.0.1')
    await once(this.server, 'listening')
    return (this.server.address() as AddressInfo).port
  }

  /** @param mode - new mode, which also applies to open connections */
  setMode (mode: LinkMode): void {
    this.mode = mode
    for (const connection of this.connections) this.apply(connection)
  }

  /** Closes the link and all its connections. */
  close (): void {
    this.server.close()
    for (const [client, upstream] of this.connections) {
      client.destroy()
      upstream.destroy()
    }
  }

  private accept (client: Socket): void {
    const upstream = connect(this.targetPort(), '127.0.0.1')
    const connection = [client, upstream] as const
    this.connections.add(connection)
    this.pipe(client, upstream)
    this.pipe(upstream, client)
    this.apply(connection)
  }

  private apply ([client, upstream]: readonly [Socket, Socket]): void {
    if (this.mode === 'reset') {
      client.resetAndDestroy()
      upstream.resetAndDestroy()
    }
    for (const socket of [client, upstream]) {
      if (this.mode === 'hold') socket.pause()
      else socket.resume()
    }
  }

  private pipe (from: Socket, to: Socket): void {
    const relay = (action: () => void): void => {
      if (this.mode === 'slow') setTimeout(action, SLOW_DELAY_MS)
      else action()
    }
    from.on('data', (data) => { relay(() => { to.write(data) }) })
    from.on('end', () => { relay(() => { to.end() }) })
    // A reset or close of one side is propagated to the other side.
    from.on('error', () => { to.resetAndDestroy() })
    from.on('close', () => {
      to.destroy()
      for (const connection of this.connections) if (connection.includes(from)) this.connections.delete(connection)
    })
  }
}
