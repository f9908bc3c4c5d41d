import { randomInt } from 'node:crypto'
import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { createServer } from 'node:net'
import { claimPort } from './claimPort'

/**
 * Candidate ports. They lie below the kernel's ephemeral range, which starts at 32,768: a port from there could be
 * assigned to an outgoing connection before the program that asked for it binds it.
 */
const PORT_RANGE = { first: 20_000, end: 32_000 }

/** Ports that were already tried or returned, so that several fleets in one process never get the same port. */
const usedPorts = new Set<number>()

interface BoundSocket {
  readonly close: (done: () => void) => unknown
}

/**
 * Finds free ports on the loopback interface. All of them stay bound until the last one is found, so that no port is
 * returned twice.
 *
 * @param count - number of ports
 * @param protocol - transport protocol of the ports
 * @returns distinct port numbers
 * @public
 */
export async function findPorts (count: number, protocol: 'tcp' | 'udp' = 'tcp'): Promise<number[]> {
  const sockets = new Map<number, BoundSocket>()
  while (sockets.size < count) {
    const port = randomInt(PORT_RANGE.first, PORT_RANGE.end)
    if (usedPorts.has(port)) continue
    usedPorts.add(port)
    if (!claimPort(port)) continue
    const socket = await tryBind(port, protocol)
    if (socket !== undefined) sockets.set(port, socket)
  }
  await Promise.all([...sockets.values()].map(async (socket) => {
    await new Promise<void>((resolve) => { socket.close(resolve) })
  }))
  return [...sockets.keys()]
}

/** @returns the bound socket, or undefined if another process uses the port */
async function tryBind (port: number, protocol: 'tcp' | 'udp'): Promise<BoundSocket | undefined> {
  const socket = protocol === 'tcp'
    ? createServer().listen(port, '127.0.0.1')
    : createSocket('udp4').bind(port, '127.0.0.1')
  // `once` rejects if the socket emits an error, for example because the port is in use.
  return await once(socket, 'listening').then(() => socket, () => undefined)
}
