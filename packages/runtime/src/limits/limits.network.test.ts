import {
  type AssignmentEntry, handleIdempotencyOwnerChanged, handleLimitsOwnerChanged, type NodeEffect, partitionOf
} from '@lavenderturn/decisions'
import { makeDocument, makeIdentity, makeMember, makeRoute, makeTeam } from '@lavenderturn/fixtures'
import { type Address, type TeamId, toId } from '@lavenderturn/types'
import { createConsola } from 'consola'
import type { Server } from 'node:http'
import type { Http2Server } from 'node:http2'
import type { AddressInfo } from 'node:net'
import { request } from 'undici'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { createNode, type Node } from '../createNode'
import { hashKey } from '../gateway/createCallerServer'

const KEY = 'a-key-of-the-fes-shop'

describe('limits and idempotency over the control port', () => {
  const closers: Array<() => void> = []
  afterEach(() => { for (const close of closers.splice(0).reverse()) close() })

  it('charges the rate and claims the idempotency key at an owner on another node', async () => {
    const [gateway, owner] = [await startNode('gateway'), await startNode('owner')]
    for (const { node } of [gateway, owner]) {
      for (const other of [gateway, owner]) addMember(node, other)
      assignOwner(node, 'owner')
    }
    const send = async (): Promise<number> => {
      const res = await request(`http://${gateway.callerAddress}/stock`, {
        method: 'POST', headers: { authorization: `Bearer ${KEY}`, 'idempotency-key': 'order-1' }
      })
      return ((await res.body.json()) as { code: number }).code
    }
    // The service has no endpoint, so the request does not run and its idempotency key is released: the result is 1505
    // both times, not 1409, 1410 or 1430.
    const settled = async (): Promise<void> => await vi.waitFor(() => {
      expect(gateway.node.runtime.query(({ idempotency }) => idempotency.settlements.size)).toBe(0)
    })
    expect(await send()).toBe(1505)
    await settled()
    expect(await send()).toBe(1505)
    await settled()
    const records = owner.node.runtime.query(({ idempotency }) => {
      return [...idempotency.ownedRecords.values()]
        .flatMap(({ records }) => [...records.values()].map(({ run }) => run.kind))
    })
    expect(records).toEqual(['released'])
    expect(owner.node.runtime.query(({ limits }) => [...limits.owned.values()][0]!.buckets.size)).toBe(1)
  })

  interface Started { readonly node: Node, readonly callerAddress: Address, readonly controlAddress: Address }

  async function startNode (nodeId: string): Promise<Started> {
    const node = createNode({ identity: makeIdentity({ nodeId: toId(nodeId) }), log: createConsola({ level: -999 }) })
    closers.push(() => {
      node.peers.close()
      void node.runtime.stop()
    })
    node.runtime.dispatch({
      slice: 'control',
      type: 'documentAccepted',
      document: makeDocument({
        keys: new Map([[hashKey(KEY), toId('fes')]]),
        teams: [makeTeam({ ratePerSecond: 1_000 })],
        routes: [makeRoute({ repeatable: false })]
      })
    })
    return {
      node,
      callerAddress: await listen(node.callerServer),
      controlAddress: await listen(node.controlServer)
    }
  }

  async function listen (server: Server | Http2Server): Promise<Address> {
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    closers.push(() => { server.close() })
    return toId<Address>(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  }
})

function addMember (node: Node, other: { readonly node: Node, readonly controlAddress: Address }): void {
  const nodeId = other.node.runtime.query(({ identity }) => identity.nodeId)
  const record = makeMember({ nodeId, controlAddress: other.controlAddress, endpoints: [] })
  node.runtime.dispatch({ slice: 'membership', type: 'memberLearned', status: 'alive', record })
}

/** Has the same effect as `ownerChanged` from the control slice. */
function assignOwner (node: Node, owner: string): NodeEffect[] {
  const entry: AssignmentEntry = {
    partition: partitionOf(toId<TeamId>('fes')), domain: toId('dc-1'), owner: toId(owner), epoch: 1, sequence: 0
  }
  return node.runtime.query((state) => {
    state.control.assignment.set(`${entry.partition}/${entry.domain}`, entry)
    const change = { at: state.now, entry }
    return [...handleLimitsOwnerChanged(state, change), ...handleIdempotencyOwnerChanged(state, change)]
  })
}
