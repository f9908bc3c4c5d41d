import { makeDocument, makeEndpoint, makeIdentity, makeMember, makeOwnership } from '@lavenderturn/fixtures'
import { type Address, toId } from '@lavenderturn/types'
import { createConsola } from 'consola'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { request } from 'undici'
import { afterEach, describe, expect, it } from 'vitest'
import { createNode, type Node } from '../createNode'
import { hashKey } from '../gateway/createCallerServer'

const KEY = 'a-key-of-the-fes-shop'

describe('a request that crashes backend servers', () => {
  const closers: Array<() => Promise<unknown>> = []
  afterEach(async () => { for (const close of closers.splice(0).reverse()) await close() })

  async function listen (server: Server): Promise<Address> {
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    closers.push(async () => {
      server.closeAllConnections()
      await new Promise((resolve) => server.close(resolve))
    })
    return toId<Address>(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  }

  /** A backend server that crashes on its first request: it stops listening and resets the connection. */
  async function startBackend (onCrash: () => void): Promise<Address> {
    const server = createServer((req) => {
      onCrash()
      server.close()
      req.socket.resetAndDestroy()
    })
    return await listen(server)
  }

  async function startNode (): Promise<{ node: Node, address: Address, forward: Address }> {
    const node = createNode({ identity: makeIdentity(), log: createConsola({ level: -999 }) })
    closers.push(async () => { await node.runtime.stop() })
    const document = makeDocument({ keys: new Map([[hashKey(KEY), toId('fes')]]) })
    node.runtime.dispatch({ slice: 'control', type: 'documentAccepted', document })
    for (const event of makeOwnership({ owner: makeIdentity().nodeId })) node.runtime.dispatch(event)
    return { node, address: await listen(node.callerServer), forward: await listen(node.forwardServer) }
  }

  // Guards against an automatic retry that crashes another backend server, and against a resend that is not refused.
  it('crashes one backend server each time it is sent, and is refused after the second', async () => {
    const { node, address, forward } = await startNode()
    let crashes = 0
    const endpoints = ['endpoint-a', 'endpoint-b', 'endpoint-c']
    for (const endpoint of endpoints) {
      const backend = await startBackend(() => { crashes += 1 })
      node.runtime.dispatch({
        slice: 'admission',
        type: 'serverAnnounced',
        endpoint: toId(endpoint),
        service: toId('stock'),
        address: backend,
        slots: 2,
        bootId: toId('boot-1'),
        state: 'serving'
      })
    }
    node.runtime.dispatch({
      slice: 'membership',
      type: 'memberLearned',
      status: 'alive',
      record: makeMember({
        forwardAddress: forward, endpoints: endpoints.map((id) => makeEndpoint({ id: toId(id) }))
      })
    })
    const results: unknown[] = []
    for (let count = 0; count < 3; count += 1) {
      const res = await request(`http://${address}/stock/deadly`, { headers: { authorization: `Bearer ${KEY}` } })
      const { code, run } = await res.body.json() as { code: number, run: string }
      results.push([code, run])
    }
    expect(results).toEqual([[1502, 'unknown'], [1502, 'unknown'], [1451, 'not-run']])
    expect(crashes).toBe(2)
  })
})
