import { makeDocument, makeEndpoint, makeHandOver, makeIdentity, makeMember, makeOwnership } from '@lavenderturn/fixtures'
import { type Address, toId } from '@lavenderturn/types'
import { createConsola } from 'consola'
import { createServer, type RequestListener, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { request } from 'undici'
import { afterEach, describe, expect, it } from 'vitest'
import { createNode, type Node } from './createNode'
import { hashKey } from './gateway/createCallerServer'

const KEY = 'a-key-of-the-fes-shop'

describe('a request through two nodes', () => {
  const closers: Array<() => Promise<void>> = []
  afterEach(async () => {
    for (const close of closers.splice(0).reverse()) await close()
  })

  async function listen (server: Server): Promise<Address> {
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    closers.push(async () => {
      server.closeAllConnections()
      await new Promise((resolve) => server.close(resolve))
    })
    return toId<Address>(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  }

  function startNode (nodeId: string): Node {
    const node = createNode({ identity: makeIdentity({ nodeId: toId(nodeId) }), log: createConsola({ level: -999 }) })
    closers.push(async () => { await node.runtime.stop() })
    node.runtime.dispatch({
      slice: 'control',
      type: 'documentAccepted',
      document: makeDocument({ keys: new Map([[hashKey(KEY), toId('fes')]]) })
    })
    // Without an owner of the team's rate, requests are refused with code 1430.
    node.runtime.dispatch({
      slice: 'limits', type: 'handOverOffered', callId: toId('call-1'), handOver: makeHandOver({ owner: toId(nodeId) })
    })
    for (const event of makeOwnership({ owner: toId(nodeId) })) node.runtime.dispatch(event)
    return node
  }

  async function startPath (backend: RequestListener): Promise<Address> {
    const gatewayNode = startNode('gateway-node')
    const admissionNode = startNode('admission-node')
    admissionNode.runtime.dispatch({
      slice: 'admission',
      type: 'serverAnnounced',
      endpoint: toId('endpoint-a'),
      service: toId('stock'),
      address: await listen(createServer(backend)),
      slots: 2,
      bootId: toId('boot-1'),
      state: 'serving'
    })
    gatewayNode.runtime.dispatch({
      slice: 'membership',
      type: 'memberLearned',
      status: 'alive',
      record: makeMember({
        nodeId: toId('admission-node'),
        forwardAddress: await listen(admissionNode.forwardServer),
        endpoints: [makeEndpoint({ id: toId('endpoint-a') })]
      })
    })
    return await listen(gatewayNode.callerServer)
  }

  it('returns the complete answer, and hides the key from the backend server', async () => {
    const seen: string[] = []
    const address = await startPath((req, res) => {
      seen.push(JSON.stringify(req.rawHeaders))
      res.end(`answer to ${req.url}`)
    })
    const res = await request(`http://${address}/stock/pegs`, {
      headers: { authorization: `Bearer ${KEY}`, 'x-copy-of-key': KEY }
    })
    expect(res.statusCode).toBe(200)
    expect(await res.body.text()).toBe('answer to /stock/pegs')
    expect(seen).toHaveLength(1)
    expect(seen[0]).not.toContain(KEY)
  })

  it('with an unknown key is refused with a result code and does not run', async () => {
    let runs = 0
    const address = await startPath((_, res) => {
      runs += 1
      res.end()
    })
    const res = await request(`http://${address}/stock/pegs`, { headers: { authorization: 'Bearer wrong' } })
    expect(res.statusCode).toBe(401)
    expect(await res.body.json()).toMatchObject({ code: 1401, run: 'not-run' })
    expect(runs).toBe(0)
  })
})
