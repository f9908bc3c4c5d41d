import { Agent, type ClientRequest } from 'node:http'
import type { Duplex } from 'node:stream'

/** An idle connection can break without notice, so connections that were idle for longer are not reused. */
const IDLE_TIMEOUT_MS = 15_000

/** @public */
export interface ExchangeAgentOptions {
  /** Maximum number of connections to one address. */
  readonly maxConnections?: number
  readonly idleTimeoutMs?: number
  /** Called when the other side closes an idle connection, which can mean that it restarted. */
  readonly onIdleConnectionClosed?: () => void
}

/**
 * Pools connections. An idle connection that receives bytes is closed: they belong to a late answer, and would be
 * parsed as the answer to the next request.
 *
 * @public
 */
export class ExchangeAgent extends Agent {
  private readonly idleTimeoutMs: number
  private readonly idleSince = new WeakMap<Duplex, number>()
  private readonly onIdleClosed: (() => void) | undefined

  constructor (options: ExchangeAgentOptions = {}) {
    const { maxConnections = Infinity, idleTimeoutMs = IDLE_TIMEOUT_MS, onIdleConnectionClosed: onIdleClosed } = options
    super({ keepAlive: true, maxSockets: maxConnections, timeout: idleTimeoutMs, scheduling: 'lifo' })
    this.idleTimeoutMs = idleTimeoutMs
    this.onIdleClosed = onIdleClosed
  }

  override keepSocketAlive (socket: Duplex): boolean {
    // The base method returns false when the server's announced keep-alive timeout is about to expire.
    const kept = super.keepSocketAlive(socket) as unknown as boolean
    if (!kept) return false
    this.idleSince.set(socket, performance.now())
    socket.on('data', destroySocket)
    if (this.onIdleClosed !== undefined) socket.on('end', this.onIdleClosed).on('error', this.onIdleClosed)
    return true
  }

  override reuseSocket (socket: Duplex, request: ClientRequest): void {
    socket.off('data', destroySocket)
    if (this.onIdleClosed !== undefined) socket.off('end', this.onIdleClosed).off('error', this.onIdleClosed)
    super.reuseSocket(socket, request)
  }

  /**
   * Closes connections that have exceeded the idle timeout. After a pause of the process, a request could reuse such a
   * connection before the timer of its socket fires.
   */
  closeExpiredConnections (): void {
    const oldest = performance.now() - this.idleTimeoutMs
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) {
        if ((this.idleSince.get(socket) ?? 0) < oldest) socket.destroy()
      }
    }
  }
}

function destroySocket (this: Duplex): void {
  this.destroy()
}
