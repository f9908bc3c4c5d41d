import type { Transport } from '@connectrpc/connect'
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node'
import type { Address } from '@lavenderturn/types'

/** Idle connections are closed after this time, so that 2,600 nodes do not maintain a full mesh. */
const IDLE_TIMEOUT_MS = 30_000

/** A connection that has been idle for this long is verified by a ping before it is reused. */
const PING_AFTER_IDLE_MS = 5_000

/** A ping that takes longer means that the connection is broken. */
const PING_TIMEOUT_MS = 1_000

/** Pools connections to the control ports of other nodes, one for each node. @public */
export class PeerTransports {
  private readonly peers = new Map<Address, { readonly transport: Transport, readonly session: Http2SessionManager }>()

  /**
   * @param address - control address of a node
   * @returns the transport for calls to it
   */
  get (address: Address): Transport {
    const existing = this.peers.get(address)
    if (existing !== undefined) return existing.transport
    const baseUrl = `http://${address}`
    const session = new Http2SessionManager(baseUrl, {
      idleConnectionTimeoutMs: IDLE_TIMEOUT_MS,
      pingIntervalMs: PING_AFTER_IDLE_MS,
      pingTimeoutMs: PING_TIMEOUT_MS
    })
    const transport = createConnectTransport({
      httpVersion: '2', baseUrl, sessionManager: session, useBinaryFormat: true
    })
    this.peers.set(address, { transport, session })
    return transport
  }

  /**
   * Closes the connection to a node.
   *
   * @param address - control address of the node
   */
  forget (address: Address): void {
    this.peers.get(address)?.session.abort()
    this.peers.delete(address)
  }

  /** Closes all connections. */
  close (): void {
    for (const address of [...this.peers.keys()]) this.forget(address)
  }
}
