import {
  connectPlatform, createLogger, createNode, endpointPolicies, type Node, type NodeOptions, type NodeSettings,
  type PlatformStores
} from '@lavenderturn/runtime'
import { randomInt } from 'node:crypto'
import { createIdentity } from './createIdentity'
import { openPort } from './openPort'

const LARGEST_SEED = 2 ** 31 - 1

/**
 * Starts a node, which stops gracefully on SIGTERM or SIGINT.
 *
 * @param settings - validated settings
 * @param overrides - options that tests replace
 * @returns the node, once all ports are open
 * @throws SettingError if a port cannot be opened
 * @internal
 */
export async function startNode (settings: NodeSettings, overrides: Partial<NodeOptions> = {}): Promise<Node> {
  const identity = createIdentity(settings)
  const log = createLogger({
    format: settings.logFormat, level: settings.logLevel, fields: { node: identity.nodeId }
  })
  const node = createNode({
    identity,
    log,
    seed: settings.seed ?? randomInt(LARGEST_SEED),
    platform: connectStores(settings),
    policies: { endpoint: endpointPolicies[settings.endpointPolicy]() },
    exit: (code) => { void node.runtime.stop().finally(() => { process.exit(code) }) },
    ...overrides
  })
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () => {
      node.runtime.enqueue({ slice: 'lifecycle', type: 'drainRequested', grace: settings.drainGrace })
    })
  }
  const callerAddress = await openPort(node.callerServer, 'callerAddress', settings)
  await openPort(node.forwardServer, 'forwardAddress', settings)
  await openPort(node.controlServer, 'controlAddress', settings)
  const adminAddress = await openPort(node.adminServer, 'adminAddress', settings)
  log.info('node started', { callerAddress, forwardAddress: settings.forwardAddress, adminAddress })
  node.start(settings.peers)
  return node
}

function connectStores (settings: NodeSettings): PlatformStores | undefined {
  const { tableStore, objectStore, storeRegion, accessKeyId, secretAccessKey } = settings
  if (tableStore === undefined || objectStore === undefined) return undefined
  return connectPlatform({
    tableEndpoint: tableStore.endpoint,
    table: tableStore.name,
    objectEndpoint: objectStore.endpoint,
    bucket: objectStore.name,
    region: storeRegion,
    credentials: { accessKeyId, secretAccessKey }
  })
}
