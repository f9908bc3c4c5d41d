import { createClient } from '@connectrpc/connect'
import { encodeDeclaration } from '@lavenderturn/declaration'
import { makeFleetDeclaration, makeIdentity, makeMember } from '@lavenderturn/fixtures'
import { type PlatformStandin, STANDIN_CREDENTIALS, startPlatformStandin } from '@lavenderturn/standin-platform'
import { type Address, toId } from '@lavenderturn/types'
import { ControlService } from '@lavenderturn/wire'
import { createConsola } from 'consola'
import type { Http2Server } from 'node:http2'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { createNode, type Node } from '../createNode'
import { PeerTransports } from '../peers/PeerTransports'
import { connectPlatform } from '../platform/PlatformStores'

/** Upper limit of the waits; the results do not depend on its length. */
const WAIT_OPTIONS = { timeout: 20_000, interval: 20 }

interface ApplyAnswer {
  readonly result: number | 'applied'
  readonly revision: number
}

interface RunningNode {
  readonly node: Node
  readonly address: Address
}

describe('the control document between nodes', () => {
  const closers: Array<() => Promise<void>> = []
  /** Closed last, because a server waits for the connections of the nodes that call it. */
  const servers: Http2Server[] = []
  const transports = new PeerTransports()
  let standin: PlatformStandin

  beforeEach(async () => {
    standin = await startPlatformStandin()
    closers.push(standin.close)
  })
  afterEach(async () => {
    transports.close()
    for (const close of closers.splice(0).reverse()) await close()
    for (const server of servers.splice(0)) await new Promise((resolve) => server.close(resolve))
  })

  async function startNode (nodeId: string, { withStore = true } = {}): Promise<RunningNode> {
    const platform = connectPlatform({
      tableEndpoint: standin.endpoint,
      table: 'lavenderturn',
      objectEndpoint: standin.endpoint,
      bucket: 'lavenderturn',
      credentials: STANDIN_CREDENTIALS
    })
    const node = createNode({
      identity: makeIdentity({ nodeId: toId(nodeId) }),
      log: createConsola({ level: -999 }),
      platform: withStore ? platform : undefined
    })
    await new Promise<void>((resolve) => node.controlServer.listen(0, '127.0.0.1', resolve))
    closers.push(async () => { await node.runtime.stop() })
    servers.push(node.controlServer)
    node.start()
    return { node, address: toId(`127.0.0.1:${(node.controlServer.address() as AddressInfo).port}`) }
  }

  function connectNodes (nodes: readonly RunningNode[]): void {
    for (const { node } of nodes) {
      for (const other of nodes) {
        const { nodeId } = other.node.runtime.query(({ identity }) => identity)
        node.runtime.dispatch({
          slice: 'membership',
          type: 'memberLearned',
          status: 'alive',
          record: makeMember({ nodeId, controlAddress: other.address, endpoints: [] })
        })
      }
    }
  }

  async function apply ({ address }: RunningNode, base: number, team: string): Promise<ApplyAnswer> {
    const { code, revision } = await createClient(ControlService, transports.get(address)).apply({
      base: BigInt(base), declaration: encodeDeclaration(makeFleetDeclaration({ team }))
    })
    return { result: code ?? 'applied', revision: Number(revision) }
  }

  function revisionAt ({ node }: RunningNode): number {
    return node.runtime.query(({ control }) => control.revision)
  }

  // Guards against messages that lose fields which the reducer needs, and against nodes that receive revisions only if
  // they can access the store themselves.
  it('accepts a declaration at one node and puts it into force at one without a store', async () => {
    const [writer, reader] = [await startNode('writer'), await startNode('reader', { withStore: false })]
    connectNodes([writer, reader])
    expect(await apply(writer, 0, 'first')).toEqual({ result: 'applied', revision: 1 })
    expect(await apply(writer, 1, 'second')).toEqual({ result: 'applied', revision: 2 })
    await vi.waitFor(() => { expect(revisionAt(reader)).toBe(2) }, WAIT_OPTIONS)
    const [team, owners] = reader.node.runtime.query(({ control }) => [
      control.document?.findTeam(toId('second')), control.assignment.size
    ])
    expect(team).toBeDefined()
    expect(owners).toBe(3 * 64)
  })

  // Guards against a node that can start only with the delta of every revision.
  it('sends the complete document to a node that starts late', async () => {
    const writer = await startNode('writer')
    for (const [base, team] of ['a', 'b', 'c'].entries()) await apply(writer, base, team)
    const late = await startNode('late')
    await vi.waitFor(() => { expect(revisionAt(late)).toBe(3) }, WAIT_OPTIONS)
  })

  // Guards against the result "not applied" when only the answer of the store was lost, and against a second write.
  it('applies a declaration once when the answer of the store is lost', async () => {
    const writer = await startNode('writer')
    await apply(writer, 0, 'first')
    standin.setFaults({ loseWriteAnswers: 1 })
    expect(await apply(writer, 1, 'second')).toEqual({ result: 'applied', revision: 2 })
    expect(await apply(writer, 1, 'third')).toEqual({ result: 2409, revision: 2 })
  })

  // Guards against calls by operators that never end, or that hide that nothing was applied.
  it('reports that nothing was applied when the store is down or the declaration is invalid', async () => {
    const writer = await startNode('writer')
    standin.setFaults({ outage: 'unavailable' })
    expect(await apply(writer, 0, 'first')).toEqual({ result: 2503, revision: 0 })
    expect(await createClient(ControlService, transports.get(writer.address)).apply({ declaration: Buffer.from('{') }))
      .toMatchObject({ code: 2400 })
  })
})
