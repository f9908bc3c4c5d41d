import type { EvictionReason } from '@lavenderturn/mesh'
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { MemoryAccount, BodyShare } from '../memory/MemoryAccount'
import { MemoryHolder } from '../memory/MemoryHolder'

/** Requests of one connection that are handled at a time; further ones wait. */
const MAX_REQUESTS_AT_A_TIME = 16

/** Requests of one connection that may wait. A connection with more is closed. */
const MAX_WAITING_REQUESTS = 1_024

/** Memory of a request that waits or is ignored, without its body: its objects in the HTTP parser and in Node. */
const WAITING_REQUEST_BYTES = 4_096

/** @internal */
export interface CallerConnectionsOptions {
  readonly account: MemoryAccount
  /** Called when a connection is closed because of the requests that wait on it. */
  readonly onOverflow: (waiting: number) => void
}

/** Connections of callers, and the requests that were sent on each before the earlier ones were answered. @internal */
export class CallerConnections {
  private readonly connections = new WeakMap<Socket, CallerConnection>()

  constructor (private readonly options: CallerConnectionsOptions) {}

  /**
   * Handles a request now, or once earlier ones of its connection have been answered.
   *
   * @param res - its response
   * @param start - handles it
   */
  add (res: ServerResponse, start: () => void): void {
    this.find(res).add(res, start)
  }

  /**
   * Counts the memory of a request that is not handled, because its connection ends before it.
   *
   * @param res - its response
   */
  ignore (res: ServerResponse): void {
    this.find(res).ignore()
  }

  private find ({ req: { socket } }: ServerResponse): CallerConnection {
    let connection = this.connections.get(socket)
    if (connection === undefined) {
      connection = new CallerConnection(socket, this.options)
      this.connections.set(socket, connection)
    }
    return connection
  }
}

class CallerConnection {
  private readonly waiting: Array<() => void> = []
  private readonly share: BodyShare
  private handled = 0

  constructor (private readonly socket: Socket, private readonly options: CallerConnectionsOptions) {
    this.share = options.account.openShare({ purpose: 'pipeline', stage: 'reading' })
    this.share.holder = new ConnectionHolder(() => { this.overflow() })
    socket.once('close', () => {
      this.waiting.length = 0
      this.share.close()
    })
  }

  add (res: ServerResponse, start: () => void): void {
    const run = (): void => {
      this.handled += 1
      res.once('close', () => {
        this.handled -= 1
        this.startNext()
      })
      start()
    }
    if (this.handled < MAX_REQUESTS_AT_A_TIME) {
      run()
      return
    }
    this.waiting.push(run)
    this.share.hold(WAITING_REQUEST_BYTES)
    if (this.waiting.length > MAX_WAITING_REQUESTS) this.overflow()
  }

  ignore (): void {
    this.share.hold(WAITING_REQUEST_BYTES)
  }

  private startNext (): void {
    if (this.socket.destroyed) return
    const next = this.waiting.shift()
    if (next === undefined) return
    this.share.take(WAITING_REQUEST_BYTES, true)
    next()
  }

  private overflow (): void {
    if (this.socket.destroyed) return
    this.options.onOverflow(this.waiting.length)
    this.socket.destroy()
  }
}

/** Node cannot stop reading a connection whose requests wait, so that pausing has no effect; it can be closed. */
class ConnectionHolder extends MemoryHolder {
  constructor (private readonly onEvicted: () => void) {
    super()
  }

  override pause (): void {}

  override resume (): void {}

  override evict (reason: EvictionReason): void {
    this.onEvicted()
  }
}
