import { TestResources, sendRequest, startRawServer, startTestPath, TEST_KEY, waitUntil } from '@lavenderturn/fixtures/runtime'
import { makeBackendConfig, startBackendServer } from '@lavenderturn/standin-backend-server'
import { type Address, millis, toId } from '@lavenderturn/types'
import { Agent } from 'node:http'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'

const LONG_ANSWER_BYTES = 400_000

describe('answers to callers', () => {
  let resources: TestResources
  beforeEach(() => { resources = new TestResources() })
  afterEach(async () => { await resources.close() })

  async function startBackend (options: Parameters<typeof makeBackendConfig>[0] = {}) {
    const server = await startBackendServer({ config: makeBackendConfig(options) })
    resources.add(async () => { await server.close() })
    return { server, address: toId<Address>(server.address) }
  }

  it('answers 502 with run "unknown" to a truncated answer when the request is not repeatable', async () => {
    const { server, address } = await startBackend({ modes: { truncateRate: 1 } })
    const { callerAddress, admissionEvents } = await startTestPath(resources, {
      backends: [address], route: { repeatable: false }
    })
    const answer = await sendRequest(callerAddress, { method: 'POST' })
    expect(answer.status).toBe(502)
    expect(answer.json).toMatchObject({ code: 1508, run: 'unknown' })
    expect(server.state.runs).toBe(1)
    expect(admissionEvents.list('workEnded')[0]?.outcome).toMatchObject({ kind: 'failed', reason: 'truncated' })
  })

  it('retries a repeatable request on another endpoint after a truncated answer, without relaying any of it', async () => {
    const broken = await startBackend({ modes: { truncateRate: 1 } })
    const sound = await startBackend()
    const { callerAddress } = await startTestPath(resources, {
      backends: [broken.address, sound.address],
      bootIds: [broken.server.state.bootId, sound.server.state.bootId]
    })
    for (let count = 0; count < 6; count++) {
      const answer = await sendRequest(callerAddress)
      expect(answer.status).toBe(200)
      expect(answer.headers['lavenderturn-boot']).toBeUndefined()
      expect(answer.json).toMatchObject({ path: '/stock/pegs' })
    }
    expect(broken.server.state.runs).toBeGreaterThan(0)
  })

  it('treats an answer that is delimited only by the end of the connection as truncated', async () => {
    const { address } = await startBackend({ modes: { closeDelimitedRate: 1 } })
    const { callerAddress } = await startTestPath(resources, { backends: [address], route: { repeatable: false } })
    expect((await sendRequest(callerAddress)).json).toMatchObject({ code: 1508, run: 'unknown' })
  })

  it('destroys the socket of the caller when a long answer is truncated', async () => {
    const { address } = await startBackend({ modes: { truncateRate: 1 } })
    const { callerAddress, gatewayEvents } = await startTestPath(resources, { backends: [address] })
    await expect(sendRequest(callerAddress, { path: `/stock?bytes=${LONG_ANSWER_BYTES}` })).rejects.toThrow(/aborted|hang up|ECONNRESET/)
    await waitUntil(() => gatewayEvents.list('answerEnded').length === 1, 'the answer ends')
    expect(gatewayEvents.list('answerEnded')[0]).toMatchObject({ complete: false })
  })

  it('relays a long answer completely', async () => {
    const { address } = await startBackend()
    const { callerAddress } = await startTestPath(resources, { backends: [address] })
    const answer = await sendRequest(callerAddress, { path: `/stock?bytes=${LONG_ANSWER_BYTES}` })
    expect(answer.body.length).toBe(LONG_ANSWER_BYTES)
  })

  it('does not relay the answer to another attempt', async () => {
    const { address } = await startBackend({ modes: { crossRate: 1 } })
    const { callerAddress, admissionEvents } = await startTestPath(resources, {
      backends: [address], route: { repeatable: false }
    })
    expect((await sendRequest(callerAddress)).json).toMatchObject({ code: 1502, run: 'unknown' })
    expect(admissionEvents.list('workEnded')[0]?.outcome).toMatchObject({ reason: 'crossed' })
  })

  it('discards a late answer, and relays the right one to the next request on the same connection', async () => {
    const { server, address } = await startBackend({ modes: { lateRate: 1 } })
    const { callerAddress } = await startTestPath(resources, { backends: [address], route: { deadline: millis(300) } })
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    resources.add(() => { agent.destroy() })
    const late = await sendRequest(callerAddress, { path: '/stock/late', agent })
    expect(late.json).toMatchObject({ code: 1504, run: 'unknown' })
    server.dispatch({ type: 'modesSet', modes: { lateRate: 0 } })
    const next = await sendRequest(callerAddress, { path: '/stock/next', agent })
    expect(next.json).toMatchObject({ path: '/stock/next' })
  })

  it('does not relay bytes that arrive on an idle connection as the answer to the next request', async () => {
    const backend = await startRawServer(resources, (socket, text) => {
      const path = /^GET (\S+)/.exec(text)?.[1] ?? ''
      socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${path.length}\r\n\r\n${path}`)
      if (path === '/stock/first') {
        setImmediate(() => { socket.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray') })
      }
    })
    const { callerAddress } = await startTestPath(resources, { backends: [backend.address] })
    expect((await sendRequest(callerAddress, { path: '/stock/first' })).body.toString()).toBe('/stock/first')
    await waitUntil(() => backend.sockets[0]!.destroyed, 'the connection with stray bytes is closed')
    expect((await sendRequest(callerAddress, { path: '/stock/second' })).body.toString()).toBe('/stock/second')
  })

  it('survives a backend server that closes connections after each answer without saying so', async () => {
    const backend = await startRawServer(resources, (socket) => {
      socket.end('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok')
    })
    const { callerAddress } = await startTestPath(resources, {
      backends: [backend.address], route: { repeatable: false }
    })
    for (let count = 0; count < 10; count++) {
      expect((await sendRequest(callerAddress)).status).toBe(200)
      await waitUntil(() => backend.sockets.every(({ destroyed }) => destroyed), 'the connection is closed')
    }
  })

  it.each([
    ['an invalid status', 'HTTP/1.1 099 Odd\r\ncontent-length: 0\r\n\r\n'],
    ['a switch of protocols', 'HTTP/1.1 101 Switching\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n'],
    ['bytes that are not HTTP', 'nonsense\r\n\r\n'],
    ['conflicting framing headers', 'HTTP/1.1 200 OK\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n'],
    ['an invalid chunk size', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n']
  ])('answers 502 and keeps serving when a backend server sends %s', async (_, text) => {
    const backend = await startRawServer(resources, (socket) => { socket.write(text) })
    const { callerAddress } = await startTestPath(resources, {
      backends: [backend.address], route: { repeatable: false }
    })
    for (let count = 0; count < 2; count++) {
      expect((await sendRequest(callerAddress)).json).toMatchObject({ status: 502, run: 'unknown' })
    }
  })

  it('relays the length of an answer to HEAD, and drops early hints and trailers', async () => {
    const backend = await startRawServer(resources, (socket, text) => {
      if (text.startsWith('HEAD')) socket.write('HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n')
      else {
        socket.write('HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n' +
          'trailer: x-sum\r\n\r\n3\r\nabc\r\n0\r\nx-sum: 1\r\n\r\n')
      }
    })
    const { callerAddress } = await startTestPath(resources, { backends: [backend.address] })
    const head = await sendRequest(callerAddress, { method: 'HEAD' })
    expect(head.headers['content-length']).toBe('7')
    const get = await sendRequest(callerAddress)
    expect(get).toMatchObject({ status: 200, trailers: {} })
    expect(get.body.toString()).toBe('abc')
  })

  it('relays the result code of an admission that refuses the attempt', async () => {
    const { address } = await startBackend()
    const { callerAddress, admissionNode } = await startTestPath(resources, { backends: [address] })
    admissionNode.runtime.dispatch({
      slice: 'admission',
      type: 'serverAnnounced',
      endpoint: toId('endpoint-0'),
      service: toId('stock'),
      address,
      slots: 4,
      bootId: toId('boot-1'),
      state: 'draining'
    })
    expect((await sendRequest(callerAddress)).json).toMatchObject({ code: 1507, run: 'not-run' })
  })

  it('answers with run "not-run" when a backend server sheds the request', async () => {
    const { server, address } = await startBackend({ modes: { shedRate: 1 } })
    const { callerAddress, admissionEvents } = await startTestPath(resources, {
      backends: [address], route: { repeatable: false }
    })
    expect((await sendRequest(callerAddress, { method: 'POST' })).json).toMatchObject({ code: 1505, run: 'not-run' })
    expect(server.state.runs).toBe(0)
    expect(admissionEvents.list('workEnded')[0]?.outcome).toEqual({ kind: 'shed' })
  })

  it('detects a crashed backend process after a reset, and does not retry the request on another endpoint', async () => {
    const first = await startBackend({ modes: { crashPath: '/stock/poison' } })
    const second = await startBackend({ modes: { crashPath: '/stock/poison' } })
    const { callerAddress, admissionEvents, gatewayEvents } = await startTestPath(resources, {
      backends: [first.address, second.address]
    })
    expect((await sendRequest(callerAddress, { path: '/stock/poison' })).json).toMatchObject({ run: 'unknown' })
    expect(admissionEvents.list('workEnded')[0]?.outcome).toMatchObject({ reason: 'reset' })
    expect(gatewayEvents.list('forwardRefused')[0]).toMatchObject({ crashedBoot: expect.any(String) })
    expect([first, second].filter(({ server }) => server.state.phase === 'dead')).toHaveLength(1)
  })

  it('sends backend servers the deadline and the attempt, and never the key', async () => {
    const { server, address } = await startBackend()
    const { callerAddress, gatewayNode } = await startTestPath(resources, { backends: [address] })
    await sendRequest(callerAddress, {
      headers: {
        'proxy-authorization': `Bearer ${TEST_KEY}`,
        cookie: `session=${TEST_KEY}`,
        'x-copy': `${TEST_KEY}, other`,
        'x-encoded': Buffer.from(TEST_KEY).toString('base64'),
        'x-kept': 'yes',
        'x-hop': 'dropped',
        connection: 'x-hop'
      }
    })
    const [seen] = server.state.requests.values()
    expect(seen!.headers).toMatchObject({ 'x-kept': 'yes', 'lavenderturn-attempt': 'gateway-node/0' })
    expect(Number(seen!.headers['lavenderturn-deadline'])).toBeGreaterThan(0)
    expect(seen!.headers['x-hop']).toBeUndefined()
    expect(JSON.stringify(seen)).not.toContain(TEST_KEY)
    expect(JSON.stringify(seen)).not.toContain(Buffer.from(TEST_KEY).toString('base64'))
    expect(JSON.stringify(gatewayNode.journal.read())).not.toContain(TEST_KEY)
  })
})
