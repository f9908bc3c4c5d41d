import { makeDeclaration } from '@lavenderturn/fixtures'
import { millis, toId } from '@lavenderturn/types'
import { createServer, type RequestListener, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { makeFleetStatus } from '../fixtures/makeFleetStatus'
import type { ApplyRequest } from './ControlClient'
import { HttpControlClient } from './HttpControlClient'

describe('HttpControlClient', () => {
  let server: Server | undefined
  afterEach(() => {
    server?.closeAllConnections()
    server?.close()
  })

  async function connect (listener: RequestListener): Promise<HttpControlClient> {
    server = createServer(listener)
    await new Promise<void>((resolve) => server!.listen(0, '127.0.0.1', resolve))
    const address = toId<never>(`127.0.0.1:${(server.address() as AddressInfo).port}`)
    return new HttpControlClient({ address, timeout: millis(30_000) })
  }

  async function answer (status: number, value: unknown): Promise<HttpControlClient> {
    return await connect((req, res) => {
      req.resume().on('end', () => res.writeHead(status).end(JSON.stringify(value)))
    })
  }

  const request = { token: 't', base: 7, declaration: makeDeclaration() } as unknown as ApplyRequest

  it('sends the whole declaration with base and token', async () => {
    const chunks: Buffer[] = []
    const client = await connect((req, res) => {
      req.on('data', (chunk: Buffer) => chunks.push(chunk)).on('end', () => res.end('{"kind":"accepted","revision":8}'))
    })
    expect(await client.apply(request)).toEqual({ kind: 'accepted', revision: 8 })
    expect(JSON.parse(Buffer.concat(chunks).toString())).toEqual(request)
  })

  it('treats only a response with a "not run" result code as a refusal, and other failures as a lost response', async () => {
    expect(await (await answer(409, { code: 2409, detail: 'base 7' })).apply(request))
      .toEqual({ kind: 'refused', result: 'staleBase', detail: 'base 7' })
    for (const [status, value] of [[503, { code: 2505 }], [500, {}], [200, { kind: 'ok' }]] as const) {
      await expect((await answer(status, value)).apply(request)).rejects.toMatchObject({ sent: true })
    }
    await expect((await connect((req) => req.destroy())).apply(request)).rejects.toMatchObject({ sent: true })
  })

  it('reports a request to a closed port as not sent', async () => {
    const client = await answer(200, {})
    server!.closeAllConnections()
    await new Promise((resolve) => server!.close(resolve))
    await expect(client.apply(request)).rejects.toMatchObject({ sent: false })
  })

  it('parses the declaration, the status and the outcome of a token', async () => {
    expect(await (await answer(200, { revision: 7, declaration: makeDeclaration() })).getDeclaration())
      .toEqual({ revision: 7, declaration: makeDeclaration() })
    expect(await (await answer(200, makeFleetStatus())).getStatus()).toEqual(makeFleetStatus())
    expect(await (await answer(200, { kind: 'absent', revision: 7 })).findByToken(toId('t'), toId(7)))
      .toEqual({ kind: 'absent', revision: 7 })
  })

  it('rejects a malformed or failed response', async () => {
    await expect((await answer(200, { revision: 7, declaration: { teams: [] } })).getDeclaration()).rejects.toThrow('invalid')
    await expect((await answer(200, { members: 3 })).getStatus()).rejects.toThrow('not understood')
    await expect((await answer(503, { code: 2503 })).getStatus()).rejects.toThrow('answered 2503')
  })
})
