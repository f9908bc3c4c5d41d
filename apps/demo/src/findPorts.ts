import { type AddressInfo, createServer, type Server } from 'node:net'

/**
 * Finds free loopback ports. All are held until the last is found, so that no port comes twice.
 *
 * @param count - how many
 * @returns port numbers
 * @internal
 */
export async function findPorts (count: number): Promise<number[]> {
  const servers: Server[] = []
  for (let index = 0; index < count; index++) {
    const server = createServer()
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    servers.push(server)
  }
  const ports = servers.map((server) => (server.address() as AddressInfo).port)
  await Promise.all(servers.map(async (server) => { await new Promise((resolve) => server.close(resolve)) }))
  return ports
}
