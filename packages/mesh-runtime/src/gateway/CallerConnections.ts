import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/**
 * Connections of callers, and the responses that are not complete on each. Node reports the end of a connection only to
 * the response that it is writing, not to those behind it.
 *
 * @internal
 */
export class CallerConnections {
  private readonly connections = new WeakMap<Socket, Set<ServerResponse>>()

  /** @param res - response of a request that was received */
  add (res: ServerResponse): void {
    const { socket } = res.req
    let open = this.connections.get(socket)
    if (open === undefined) {
      open = new Set()
      this.connections.set(socket, open)
      socket.once('close', () => { closeAll(open!) })
    }
    open.add(res)
    res.once('close', () => { open.delete(res) })
  }
}

function closeAll (open: ReadonlySet<ServerResponse>): void {
  for (const res of [...open]) {
    if (res.closed) continue
    res.destroy()
    res.emit('close')
  }
}
