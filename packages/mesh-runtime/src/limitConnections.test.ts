import { ConnectionResponses } from '@lavenderturn/runtime'
import { once } from 'node:events'
import { createServer, type Server } from 'node:http'
import { type AddressInfo, connect, type Socket } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { limitConnections } from './limitConnections'

const sockets: Socket[] = []
let server: Server | undefined

afterEach(() => {
  for (const socket of sockets.splice(0)) socket.destroy()
  server?.close()
  server?.closeAllConnections()
})

/** More than the buffers of a connection hold. */
const LARGE_RESPONSE_BYTES = 16_000_000

/** Time in which a connection that is closed is noticed. */
const SETTLE_MS = 200

async function startServer (maxConnections: number): Promise<void> {
  server = createServer((req, res) => {
    ConnectionResponses.of(req.socket).add(res)
    res.end(req.url === '/large' ? Buffer.alloc(LARGE_RESPONSE_BYTES, 'x') : 'small')
  })
  limitConnections(server, { maxConnections, onDropped: () => {} })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
}

async function openConnection (): Promise<Socket> {
  const socket = connect((server!.address() as AddressInfo).port, '127.0.0.1')
  sockets.push(socket)
  socket.on('error', () => {})
  await once(socket, 'connect')
  return socket
}

async function send (socket: Socket, path: string): Promise<void> {
  socket.write(`GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`)
  await once(socket, 'data')
}

/** @returns the bytes that a connection has received once nothing more comes */
async function countBytes (socket: Socket): Promise<number> {
  socket.resume()
  let before = -1
  while (before !== socket.bytesRead) {
    before = socket.bytesRead
    await pause(SETTLE_MS)
  }
  return before
}

describe('a server with as many connections as it takes', () => {
  // Guards against a response that a slow caller loses because others connect.
  it('closes an idle one for the next, but none whose response has not been read', async () => {
    await startServer(2)
    const slow = await openConnection()
    await send(slow, '/large')
    slow.pause()
    const idle = await openConnection()
    await send(idle, '/small')
    idle.resume()
    await openConnection()
    await once(idle, 'close')
    expect(await countBytes(slow)).toBeGreaterThan(LARGE_RESPONSE_BYTES)
  })

  // Guards against a connection that is closed while its first or its next request arrives.
  it('closes none on which a request has begun', async () => {
    await startServer(2)
    const first = await openConnection()
    first.write('GET /small HT')
    const next = await openConnection()
    await send(next, '/small')
    next.write('GET /small HT')
    await pause(SETTLE_MS)
    await openConnection()
    await pause(SETTLE_MS)
    expect([first.destroyed, next.destroyed]).toEqual([false, false])
  })
})
