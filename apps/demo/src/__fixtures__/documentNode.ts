/**
 * `lavenderturn-node` with a fixed control document and with members learned from `/status`, for the test of the demo.
 * The admin addresses of all nodes come as the last argument.
 */
import { startNode } from '@lavenderturn/app-node'
import type { EndpointRecord } from '@lavenderturn/decisions'
import { makeDocument, makeMember, makeRoute, makeTeam } from '@lavenderturn/fixtures'
import { FrozenClock } from '@lavenderturn/fixtures/runtime'
import { hashKey, type Node, nodeSettings, parseSettings } from '@lavenderturn/runtime'
import { millis, toId } from '@lavenderturn/types'
import { request } from 'undici'
import { DEMO_ROUTES, DEMO_TEAMS } from '../demoTraffic'

const POLL_MS = 500

interface PeerStatus {
  readonly node: { readonly nodeId: string, readonly forwardAddress: string }
  readonly phase: string
  readonly backendServers: ReadonlyArray<{ readonly endpoint: string } & Omit<EndpointRecord, 'id'>>
}

async function learnMembers (node: Node, adminAddresses: readonly string[]): Promise<void> {
  for (let version = 1; ; version++) {
    for (const address of adminAddresses) await learnMember(node, address, version).catch(() => {})
    await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
  }
}

async function learnMember (node: Node, address: string, endpointsVersion: number): Promise<void> {
  const { body } = await request(`http://${address}/status`)
  const status = await body.json() as PeerStatus
  node.runtime.tell({
    slice: 'membership',
    type: 'memberLearned',
    status: status.phase === 'serving' ? 'alive' : 'left',
    record: makeMember({
      nodeId: toId(status.node.nodeId),
      forwardAddress: toId(status.node.forwardAddress),
      endpointsVersion,
      endpoints: status.backendServers.map(({ endpoint, service, slots, state }) => {
        return { id: toId(endpoint), service, slots, state }
      })
    })
  })
}

const argv = process.argv.slice(2)
const adminAddresses = argv.pop()!.split(',')
const parsed = await parseSettings({
  program: 'node', description: 'a node', version: '0', table: nodeSettings, argv, env: {}
})
if (parsed.kind === 'values') {
  const node = await startNode(parsed.values, { clock: new FrozenClock() })
  node.runtime.tell({
    slice: 'control',
    type: 'documentAccepted',
    document: makeDocument({
      teams: DEMO_TEAMS.map(({ id, ratePerSecond, burst }) => makeTeam({ id: toId(id), ratePerSecond, burst })),
      keys: new Map(DEMO_TEAMS.map(({ id, key }) => [hashKey(key), toId(id)])),
      services: DEMO_ROUTES.map(({ service }) => ({ id: toId(service), floor: 0.5 })),
      routes: DEMO_ROUTES.map(({ id, service, deadlineMs, ...rest }) => {
        return makeRoute({ id: toId(id), service: toId(service), deadline: millis(deadlineMs), ...rest })
      })
    })
  })
  void learnMembers(node, adminAddresses)
}
