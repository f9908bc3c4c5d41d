import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** Time for a client to read the last bytes before its connection is closed. */
const LINGER_TIMEOUT_MS = 2_000

/** Requests that a client may send behind the last one that is answered. Node keeps them until the connection ends. */
const MAX_IGNORED_REQUESTS = 1_024

const connections = new WeakMap<Socket, ConnectionResponses>()

/**
 * The responses of one connection that are not complete, in the order of their requests. A client may send requests
 * before earlier ones are answered, and takes the first bytes that it receives as the response to the first of them. So
 * what concerns the connection as a whole is written after all of them.
 *
 * @public
 */
export class ConnectionResponses {
  private readonly open = new Set<ServerResponse>()
  private finishing = false
  private lastBytes = ''
  private ignored = 0
  private addedCount = 0
  /** Bytes that had been read when the last response was complete. */
  private bytesReadBefore = 0

  private constructor (private readonly socket: Socket) {
    socket.once('close', () => { this.close() })
  }

  /**
   * @param socket - a connection of an HTTP server
   * @returns its responses
   */
  static of (socket: Socket): ConnectionResponses {
    let responses = connections.get(socket)
    if (responses === undefined) {
      responses = new ConnectionResponses(socket)
      connections.set(socket, responses)
    }
    return responses
  }

  /** Number of requests so far. */
  get added (): number {
    return this.addedCount
  }

  /** Number of requests without a complete response. */
  get unanswered (): number {
    return this.open.size
  }

  /** Whether the connection ends after its responses. */
  get isFinishing (): boolean {
    return this.finishing
  }

  /** Whether all requests of the connection, at least one, have been answered, and none has begun since. */
  get isIdle (): boolean {
    return this.addedCount > 0 && this.open.size === 0 && this.socket.bytesRead === this.bytesReadBefore
  }

  /** The response to the newest request, if it is not complete. */
  get newest (): ServerResponse | undefined {
    return [...this.open].at(-1)
  }

  /**
   * Adds the response to a further request, unless the connection ends before it.
   *
   * @param res - the response
   * @returns false if the request must not be handled: it gets no response, so that its caller sends it again
   */
  add (res: ServerResponse): boolean {
    if (this.finishing) {
      this.ignore(res)
      return false
    }
    this.addedCount += 1
    this.open.add(res)
    res.once('close', () => {
      this.open.delete(res)
      this.bytesReadBefore = this.socket.bytesRead
      this.endIfComplete()
    })
    return true
  }

  /**
   * Ends the connection once all responses are complete. Requests that come from now on are not handled.
   *
   * @param lastBytes - written after them; by default the newest response says that the connection closes
   */
  finish (lastBytes = ''): void {
    if (this.finishing) return
    this.finishing = true
    this.lastBytes = lastBytes
    const { newest } = this
    if (lastBytes === '' && newest?.headersSent === false) newest.shouldKeepAlive = false
    // As on other connections, a client that closes its side leaves. The parser, which may have failed, does not tell.
    this.socket.once('end', () => { if (this.open.size > 0) this.socket.destroy() })
    this.endIfComplete()
  }

  private ignore ({ req }: ServerResponse): void {
    // An unread body would keep Node from reading, and a connection that is closed with unread data loses responses.
    req.resume()
    this.ignored += 1
    if (this.ignored > MAX_IGNORED_REQUESTS) this.socket.destroy()
  }

  private endIfComplete (): void {
    const { socket } = this
    if (!this.finishing || this.open.size > 0 || !socket.writable) return
    socket.end(this.lastBytes)
    // Closing a connection with unread data resets it, and the last bytes can be lost.
    setTimeout(() => { socket.destroy() }, LINGER_TIMEOUT_MS).unref()
  }

  /** Node reports the end of the connection only to the response that it is writing, not to those behind it. */
  private close (): void {
    for (const res of [...this.open]) {
      if (res.closed) continue
      res.destroy()
      res.emit('close')
    }
    this.open.clear()
  }
}
