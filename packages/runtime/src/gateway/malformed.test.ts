import {
  TestResources, sendRaw, sendRequest, startTestPath, TEST_KEY, waitUntil
} from '@lavenderturn/fixtures/runtime'
import { makeBackendConfig, startBackendServer } from '@lavenderturn/standin-backend-server'
import { type Address, toId } from '@lavenderturn/types'
import { once } from 'node:events'
import { createServer } from 'node:http'
import { connect } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'

const AUTHORIZATION = `authorization: Bearer ${TEST_KEY}\r\n`

/** Longer than a malformed request takes to be refused. */
const BACKEND_DELAY_MS = 200

/** Requests that HTTP parsers interpret differently, or whose target is ambiguous. */
const MALFORMED: ReadonlyArray<readonly [string, string]> = [
  ['conflicting framing headers', 'POST /stock HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n'],
  ['two content lengths', 'POST /stock HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nabcdef'],
  ['a transfer coding besides chunked', 'POST /stock HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n'],
  ['an unknown transfer coding', 'POST /stock HTTP/1.1\r\nhost: a\r\ntransfer-encoding: xchunked\r\n\r\n'],
  ['two authorization headers', 'GET /stock HTTP/1.1\r\nhost: a\r\nauthorization: Bearer other\r\n\r\n'],
  ['no host', 'GET /stock HTTP/1.1\r\n\r\n'],
  ['a space before the colon', 'GET /stock HTTP/1.1\r\nhost: a\r\nx-a : b\r\n\r\n'],
  ['a folded header', 'GET /stock HTTP/1.1\r\nhost: a\r\nx-a: b\r\n c\r\n\r\n'],
  ['an invalid chunk size', 'POST /stock HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n\r\n'],
  ['bytes that are not HTTP', 'nonsense\r\n\r\n'],
  ['the CONNECT method', 'CONNECT other:80 HTTP/1.1\r\nhost: a\r\n\r\n'],
  ['an absolute target', 'GET http://other/stock HTTP/1.1\r\nhost: a\r\n\r\n'],
  ['dot segments', 'GET /stock/../other HTTP/1.1\r\nhost: a\r\n\r\n'],
  ['encoded dot segments', 'GET /stock/%2e%2E%2fother HTTP/1.1\r\nhost: a\r\n\r\n'],
  ['dot segments with parameters', 'GET /stock/..;x/other HTTP/1.1\r\nhost: a\r\n\r\n'],
  ['too many header bytes', `GET /stock HTTP/1.1\r\nhost: a\r\nx-a: ${'a'.repeat(20_000)}\r\n\r\n`]
]

describe('malformed requests', () => {
  let resources: TestResources
  beforeEach(() => { resources = new TestResources() })
  afterEach(async () => { await resources.close() })

  async function start () {
    const server = await startBackendServer({ config: makeBackendConfig() })
    resources.add(async () => { await server.close() })
    const path = await startTestPath(resources, { backends: [toId(server.address)] })
    return { ...path, server }
  }

  it.each(MALFORMED)('with %s get code 1400 and do not run', async (_, text) => {
    const { callerAddress, server } = await start()
    const authorized = text.replace('host: a\r\n', `host: a\r\nconnection: close\r\n${AUTHORIZATION}`)
    const received = await sendRaw(callerAddress, authorized)
    expect(received).toMatch(/^HTTP\/1\.1 4(00|31) /)
    expect(received).toContain('"code":1400')
    expect(server.state.requests.size).toBe(0)
  })

  it.each([TEST_KEY, TEST_KEY.replace('k', '%6B'), TEST_KEY.replaceAll('-', '%2d')])(
    'with the key in the target are refused (%s)', async (written) => {
      const { callerAddress, server } = await start()
      const answer = await sendRequest(callerAddress, { path: `/stock?k=${written}` })
      expect(answer.json).toMatchObject({ code: 1400, run: 'not-run' })
      expect(answer.body.toString()).not.toContain(TEST_KEY)
      expect(server.state.requests.size).toBe(0)
    }
  )

  it('do not include those with a header of 12 kB, which is forwarded', async () => {
    const { callerAddress, server } = await start()
    const value = 'v'.repeat(12_000)
    expect((await sendRequest(callerAddress, { headers: { 'x-large': value } })).status).toBe(200)
    expect([...server.state.requests.values()][0]!.headers['x-large']).toBe(value)
  })

  /** Starts a path to a backend server that answers after a while, and lists what it began to run. */
  async function startSlow (): Promise<{ readonly callerAddress: Address, readonly runs: string[] }> {
    const runs: string[] = []
    const backend = createServer((req, res) => {
      runs.push(req.url ?? '')
      req.on('error', () => {}).resume()
      setTimeout(() => { res.end(`ran ${req.url}`) }, BACKEND_DELAY_MS)
    })
    const { callerAddress } = await startTestPath(resources, { backends: [await resources.listen(backend)] })
    return { callerAddress, runs }
  }

  const listStatuses = (received: string): string[] => {
    return [...received.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(([, status]) => status!)
  }

  const FIRST = `GET /stock/a HTTP/1.1\r\nhost: a\r\n${AUTHORIZATION}\r\n`

  // Guards against a refusal in the place of the answer to an earlier request, which has run.
  it.each([
    ['bytes that are not HTTP', 'nonsense\r\n\r\n'],
    ['a malformed header', 'GET /stock/b HTTP/1.1\r\nhost: a\r\nx-a : b\r\n\r\n'],
    ['an invalid chunk size', `POST /stock/b HTTP/1.1\r\nhost: a\r\n${AUTHORIZATION}transfer-encoding: chunked\r\n\r\nzz\r\n`],
    ['the CONNECT method', 'CONNECT other:80 HTTP/1.1\r\nhost: a\r\n\r\n']
  ])('with %s are refused after the answer to an earlier one', async (_, text) => {
    const { callerAddress, runs } = await startSlow()
    const received = await sendRaw(callerAddress, FIRST + text)
    expect(listStatuses(received)).toEqual(['200', '400'])
    expect(received).toContain('ran /stock/a')
    expect(runs).toEqual(['/stock/a'])
  })

  // Guards against requests that run but get no answer, because the response to an earlier one closes the connection.
  it('are not followed by others on their connection', async () => {
    const { callerAddress, runs } = await startSlow()
    const refused = `GET /stock/../b HTTP/1.1\r\nhost: a\r\n${AUTHORIZATION}content-length: 3\r\n\r\n`
    expect(listStatuses(await sendRaw(callerAddress, `${FIRST}${refused}abc${FIRST}`))).toEqual(['200', '400'])
    expect(runs).toEqual(['/stock/a'])
  })

  // Guards against an answer that says 'not run' for a request that a backend server has begun to run.
  it('with an invalid chunk size far into the body get no answer', async () => {
    const { callerAddress, runs } = await startSlow()
    const head = `POST /stock/b HTTP/1.1\r\nhost: a\r\n${AUTHORIZATION}transfer-encoding: chunked\r\n\r\n`
    const socket = connect(Number(callerAddress.split(':')[1]), '127.0.0.1')
    resources.add(() => { socket.destroy() })
    let received = ''
    socket.on('data', (data) => { received += data.toString() }).on('error', () => {})
    socket.write(`${head}20000\r\n${'x'.repeat(0x20000)}\r\n`)
    await waitUntil(() => runs.length === 1)
    socket.write('zz\r\n')
    await once(socket, 'close')
    expect(received).toBe('')
  })
})
