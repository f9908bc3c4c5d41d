import type { Transport } from '@connectrpc/connect'
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node'
import type { Address } from '@lavenderturn/types'

/** An idle connection to another node is closed after this time, so that 2,600 nodes do not keep a full mesh. */
const IDLE_CONNECTION_MS = 30_000

/** A connection that has been idle this long is verified by a ping before it is used again. */
const PING_IDLE_MS = 5_000

/** A ping that takes longer means that the connection has gone silent. */
const PING_TIMEOUT_MS = 1_000

/** Connections to the control ports of other nodes, one a node. @public */
export class PeerTransports {
  private readonly peers = new Map<Address, { readonly transport: Transport, readonly session: Http2SessionManager }>()

  /**
   * @param address - control address of a node
   * @returns the transport for calls to it
   */
  get (address: Address): Transport {
    const known = this.peers.get(address)
    if (known !== undefined) return known.transport
    const baseUrl = `http://${address}`
    const session = new Http2SessionManager(baseUrl, {
      idleConnectionTimeoutMs: IDLE_CONNECTION_MS,
      pingIntervalMs: PING_IDLE_MS,
      pingTimeoutMs: PING_TIMEOUT_MS
    })
    const transport = createConnectTransport({
      httpVersion: '2', baseUrl, sessionManager: session, useBinaryFormat: true
    })
    this.peers.set(address, { transport, session })
    return transport
  }

  /**
   * Drops the connection to a node that has left.
   *
   * @param address - control address of the node
   */
  forget (address: Address): void {
    this.peers.get(address)?.session.abort()
    this.peers.delete(address)
  }

  /** Drops all connections. */
  close (): void {
    for (const address of [...this.peers.keys()]) this.forget(address)
  }
}
