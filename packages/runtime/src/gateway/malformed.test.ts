import { TestResources, sendRaw, sendRequest, startTestPath, TEST_KEY } from '@lavenderturn/fixtures/runtime'
import { makeBackendConfig, startBackendServer } from '@lavenderturn/standin-backend-server'
import { toId } from '@lavenderturn/types'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'

const AUTHORIZATION = `authorization: Bearer ${TEST_KEY}\r\n`

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
})
