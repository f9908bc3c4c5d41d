import { createSocket, type Socket } from 'node:dgram'
import { once } from 'node:events'

interface NodeLink {
  readonly socket: Socket
  /** Port that the node itself is bound to. */
  readonly nodePort: number
  dropsIncoming: boolean
  dropsOutgoing: boolean
}

/** UDP proxies between nodes that can drop datagrams. Other nodes reach a node by the port of its link. @public */
export class DatagramLinks {
  private readonly links = new Map<string, NodeLink>()

  /**
   * Opens the link of a node.
   *
   * @param node - name of the node
   * @param nodePort - port that the node itself is bound to
   * @returns the port by which other nodes reach it
   */
  async open (node: string, nodePort: number): Promise<number> {
    const socket = createSocket('udp4').bind(0, '127.0.0.1')
    await once(socket, 'listening')
    const link: NodeLink = { socket, nodePort, dropsIncoming: false, dropsOutgoing: false }
    this.links.set(node, link)
    socket.on('message', (data, sender) => { this.forward(link, data, sender.port) })
    // A stopped node rejects datagrams by ICMP; they are treated as lost.
    socket.on('error', () => {})
    return socket.address().port
  }

  /**
   * @param node - name of the node
   * @param loss - whether to drop datagrams to the node and from it
   */
  setLoss (node: string, loss: { readonly to?: boolean, readonly from?: boolean }): void {
    const link = this.links.get(node)!
    link.dropsIncoming = loss.to ?? link.dropsIncoming
    link.dropsOutgoing = loss.from ?? link.dropsOutgoing
  }

  /** Closes all links. */
  close (): void {
    for (const { socket } of this.links.values()) socket.close()
  }

  private forward (target: NodeLink, data: Buffer, senderPort: number): void {
    const source = [...this.links.values()].find(({ nodePort }) => nodePort === senderPort)
    if (source === undefined || source.dropsOutgoing || target.dropsIncoming) return
    // Sent from the link of the sender, so that the receiver can reply to the source address.
    source.socket.send(data, target.nodePort, '127.0.0.1')
  }
}
