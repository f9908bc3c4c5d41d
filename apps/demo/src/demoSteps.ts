import { findPorts } from '@lavenderturn/ports'
import { setTimeout as delay } from 'node:timers/promises'
import { Agent } from 'node:http'
import { request } from 'undici'
import type { DemoContext, DemoNode } from './DemoContext'
import type { DemoStep, RequestOutcome } from './DemoPlan'
import { DEMO_DATA_CENTRES, DEMO_REGION, DEMO_ROUTES, DEMO_TEAMS } from './demoTraffic'
import type { PlatformSteps } from './PlatformSteps'
import { runTraffic } from './runTraffic'
import { sendDemoRequest } from './sendDemoRequest'

/** Number of requests in the `runRequests` step. */
const REQUEST_COUNT = 600

const CALLERS_PER_TEAM = 6

/** A node is ready a few seconds after its start, and later on a busy machine. */
const READY_TIMEOUT_MS = 60_000

const POLL_INTERVAL_MS = 50

/** Pause that makes an upload of 64 chunks of 64 KiB last longer than the 6 s grace period of a planned stop. */
const SLOW_UPLOAD_CHUNK_PAUSE_MS = 130

/** Interval of readiness checks by the load balancer; well below the grace period. */
const READINESS_CHECK_INTERVAL_MS = 500

const SLOTS_PER_SERVER = 8

/** @public */
export interface StepOptions {
  readonly context: DemoContext
  readonly platform: PlatformSteps
  readonly onOutcome: (outcome: RequestOutcome) => void
}

/** Runs one step and throws if it fails. @public */
export type RunStep = (options: StepOptions) => Promise<void>

/** Implementations of the steps; `runDemo` implements `report`. @public */
export const demoSteps: Readonly<Record<Exclude<DemoStep, 'report'>, RunStep>> = {
  choosePorts: async ({ context }) => { context.nodes = await allocateNodes() },
  startPlatform: async ({ context, platform }) => { context.nodeArguments = await platform.start(context) },
  startNodes: async ({ context }) => {
    await Promise.all(context.nodes.map(async (node) => { await startNode(context, node) }))
  },
  startBackends: async ({ context }) => {
    await Promise.all(context.nodes.map(async (node) => { await startBackends(context, node) }))
  },
  applyDeclaration: async ({ context, platform }) => { await platform.apply(context) },
  awaitReady: async ({ context: { nodes } }) => {
    await Promise.all(nodes.map(async ({ name, adminAddress }) => {
      await waitUntil(`${name} is ready`, async () => await readStatus(adminAddress, '/readyz') === 200)
    }))
    await waitUntil('all nodes know all backend servers', async () => await areAllEndpointsKnown(nodes))
  },
  runRequests: async ({ context, onOutcome }) => {
    const openAddresses = new Set(context.nodes.map(({ callerAddress }) => callerAddress))
    await runTraffic({
      openAddresses, callersPerTeam: CALLERS_PER_TEAM, onOutcome, shouldStop: (sent) => sent >= REQUEST_COUNT
    })
  },
  plannedStop: stopNodeUnderLoad,
  stopAll: async ({ context: { children } }) => {
    // Backend servers stop before the nodes, so that the nodes can accept the announcement of their withdrawal.
    await children.stopAll((name) => name.startsWith('backend'))
    await children.stopAll((name) => name.startsWith('node'))
    await children.stopAll()
  }
}

async function allocateNodes (): Promise<DemoNode[]> {
  const portsPerNode = 4
  const ports = await findPorts(DEMO_DATA_CENTRES.length * portsPerNode)
  return DEMO_DATA_CENTRES.map((dataCentre, index) => {
    const [caller, forward, control, admin] = ports.slice(index * portsPerNode)
    return {
      name: `node-${dataCentre}`,
      dataCentre,
      callerAddress: `127.0.0.1:${caller}`,
      forwardAddress: `127.0.0.1:${forward}`,
      controlAddress: `127.0.0.1:${control}`,
      adminAddress: `127.0.0.1:${admin}`
    }
  })
}

async function startNode ({ children, programs, nodes, nodeArguments }: DemoContext, node: DemoNode): Promise<void> {
  void children.start(node.name, [
    ...programs.node,
    '--node-id', node.name,
    '--data-centre', node.dataCentre,
    '--region', DEMO_REGION,
    '--caller-address', node.callerAddress,
    '--forward-address', node.forwardAddress,
    '--control-address', node.controlAddress,
    '--admin-address', node.adminAddress,
    '--peers', nodes.filter(({ name }) => name !== node.name).map(({ controlAddress }) => controlAddress).join(),
    '--log-level', 'warn',
    ...nodeArguments
  ])
  await waitUntil(`${node.name} answers`, async () => await readStatus(node.adminAddress, '/livez') === 200)
}

async function startBackends ({ children, programs }: DemoContext, node: DemoNode): Promise<void> {
  await Promise.all(DEMO_ROUTES.map(async ({ service }, index) => {
    const line = await children.start(`backend-${service}-${node.dataCentre}`, [
      ...programs.backend, '--service', service, '--admin-address', node.adminAddress, '--slots', String(SLOTS_PER_SERVER),
      '--seed', String(index + 1)
    ])
    if (line === undefined) throw new Error(`the backend server of ${service} does not start`)
  }))
}

async function areAllEndpointsKnown (nodes: readonly DemoNode[]): Promise<boolean> {
  const expected = nodes.length * DEMO_ROUTES.length
  const known = await Promise.all(nodes.map(async ({ adminAddress }) => {
    const { body } = await request(`http://${adminAddress}/status`)
    const { members } = await body.json() as { members: Array<{ state: string, endpoints: unknown[] }> }
    return members.filter(({ state }) => state === 'alive').flatMap(({ endpoints }) => endpoints).length
  }))
  return known.every((count) => count === expected)
}

/** Stops a node during traffic of all kinds, including uploads that outlast the grace period. */
async function stopNodeUnderLoad ({ context, onOutcome }: StepOptions): Promise<void> {
  const { children, nodes } = context
  const [stopped] = nodes
  const openAddresses = new Set(nodes.map(({ callerAddress }) => callerAddress))
  let isDone = false
  const readinessWatch = watchReadiness(nodes, openAddresses, () => isDone)
  const traffic = runTraffic({
    openAddresses,
    callersPerTeam: CALLERS_PER_TEAM,
    onOutcome,
    shouldStop: () => isDone
  })
  const agent = new Agent()
  const uploads = DEMO_TEAMS.map(async (team) => {
    onOutcome(await sendDemoRequest({
      address: stopped!.callerAddress, team, kind: 'upload', agent, chunkPauseMs: SLOW_UPLOAD_CHUNK_PAUSE_MS
    }))
  })
  try {
    await waitUntil('the uploads are under way', async () => await hasRequestsInFlight(nodes, DEMO_TEAMS.length))
    await children.stop(stopped!.name)
    await Promise.all(uploads)
    await children.stopAll((name) => name.startsWith('backend') && name.endsWith(stopped!.dataCentre))
  } finally {
    isDone = true
    await Promise.all([traffic, readinessWatch])
  }
}

/**
 * Removes nodes that are not ready, as a load balancer does. Callers that continue to use a closing node can lose
 * requests: when a port closes, the kernel resets connections that the process has not accepted yet.
 */
async function watchReadiness (
  nodes: readonly DemoNode[],
  openAddresses: Set<string>,
  isDone: () => boolean
): Promise<void> {
  while (!isDone()) {
    for (const { adminAddress, callerAddress } of nodes) {
      const status = await readStatus(adminAddress, '/readyz').catch(() => 0)
      if (status !== 200) openAddresses.delete(callerAddress)
    }
    await delay(READINESS_CHECK_INTERVAL_MS)
  }
}

async function hasRequestsInFlight (nodes: readonly DemoNode[], count: number): Promise<boolean> {
  const { body } = await request(`http://${nodes[0]!.adminAddress}/status`)
  const { requestsInFlight } = await body.json() as { requestsInFlight: number }
  return requestsInFlight >= count
}

async function readStatus (address: string, path: string): Promise<number> {
  const { statusCode, body } = await request(`http://${address}${path}`)
  await body.dump()
  return statusCode
}

async function waitUntil (description: string, condition: () => Promise<boolean>): Promise<void> {
  const end = performance.now() + READY_TIMEOUT_MS
  while (!(await condition().catch(() => false))) {
    if (performance.now() > end) throw new Error(`not within ${READY_TIMEOUT_MS} ms: ${description}`)
    await delay(POLL_INTERVAL_MS)
  }
}
