import { TestResources, startRawServer } from '@lavenderturn/fixtures/runtime'
import { toId } from '@lavenderturn/types'
import { once } from 'node:events'
import { setImmediate, setTimeout as delay } from 'node:timers/promises'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { Exchange } from './Exchange'
import { ExchangeAgent } from './ExchangeAgent'

describe('kept connections', () => {
  let resources: TestResources
  beforeEach(() => { resources = new TestResources() })
  afterEach(async () => { await resources.close() })

  async function start (idleTimeoutMs: number, head = '', agent = new ExchangeAgent({ idleTimeoutMs })) {
    resources.add(() => { agent.destroy() })
    const { address, sockets } = await startRawServer(resources, (socket) => {
      socket.write(`HTTP/1.1 200 OK\r\n${head}content-length: 0\r\n\r\n`)
    })
    const exchange = async (): Promise<void> => {
      const response = await new Exchange({
        agent,
        address,
        attemptId: toId('a'),
        method: 'GET',
        path: '/',
        headers: {},
        progress: { silenceTimeoutMs: Infinity }
      }).start()
      response.resume()
      await once(response, 'end')
      await setImmediate()
    }
    return { exchange, sockets }
  }

  it('are reused', async () => {
    const { exchange, sockets } = await start(10_000)
    await exchange()
    await exchange()
    expect(sockets).toHaveLength(1)
  })

  it('are not reused after the process was paused for longer than the idle timeout', async () => {
    const { exchange, sockets } = await start(50)
    await exchange()
    // Blocks the process, so that no timer fires before the next exchange.
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 200)
    await exchange()
    expect(sockets).toHaveLength(2)
  })

  it('are reported when the server closes them while they are idle, and not when an exchange uses them', async () => {
    let closed = 0
    const agent = new ExchangeAgent({ idleTimeoutMs: 10_000, onIdleConnectionClosed: () => { closed += 1 } })
    const { exchange, sockets } = await start(10_000, '', agent)
    await exchange()
    await exchange()
    expect(closed).toBe(0)
    sockets[0]!.end()
    await delay(50)
    expect(closed).toBe(1)
  })

  it('are not reused when the keep-alive timeout of the server is too short for another request', async () => {
    const { exchange, sockets } = await start(10_000, 'keep-alive: timeout=1\r\n')
    await exchange()
    await exchange()
    expect(sockets).toHaveLength(2)
  })
})
