import {
  type Bounds, createMeshState, DEFAULT_RESOURCES, findResourceLimits, type MeshIdentity, type MeshPolicies,
  type ResourceLimits
} from '@lavenderturn/mesh'
import { splitAddress } from '@lavenderturn/runtime'
import type { Address } from '@lavenderturn/types'
import type { ConsolaInstance } from 'consola'
import type { Server } from 'node:http'
import { AdmissionHandler } from './admission/AdmissionHandler'
import { createForwardServer } from './admission/createForwardServer'
import { ConfigurationFollower } from './configuration/ConfigurationFollower'
import { ConfigurationHandler } from './configuration/ConfigurationHandler'
import type { ConfigurationSource } from './configuration/ConfigurationSource'
import { DirectoryHandler } from './directory/DirectoryHandler'
import type { MemberRegistry } from './directory/MemberRegistry'
import { RolloutHandler } from './rollout/RolloutHandler'
import type { RolloutRegistry } from './rollout/RolloutRegistry'
import { CallerServer } from './gateway/CallerServer'
import { GatewayHandler } from './gateway/GatewayHandler'
import { LifecycleHandler } from './LifecycleHandler'
import { LogHandler } from './LogHandler'
import type { LogSink } from './LogSink'
import { type MeshObserver, MeshRuntime } from './MeshRuntime'
import { MemoryAccount } from './memory/MemoryAccount'
import { PeerHandler } from './peers/PeerHandler'
import type { RequestProtocol } from './protocol/RequestProtocol'
import type { AnnouncementProtocol } from './servers/AnnouncementProtocol'
import { createMetricsServer } from './metrics/createMetricsServer'
import { MeshMetrics } from './metrics/MeshMetrics'
import { AnnouncementServer } from './servers/AnnouncementServer'
import { createReadinessServer } from './servers/createReadinessServer'
import { TimerHandler } from './TimerHandler'

/** Listen addresses of a node, in addition to those of its identity. @public */
export interface MeshAddresses {
  readonly callers: Address
  readonly announcements: Address
  readonly readiness: Address
  readonly metrics: Address
  /** Listen address for datagrams, if it differs from `peerAddress`, for example behind a port mapping. */
  readonly peers?: Address
  /** Listen address for forwarded requests, if it differs from `forwardAddress`. */
  readonly forward?: Address
}

/** @public */
export interface MeshNodeOptions {
  readonly identity: MeshIdentity
  readonly bounds: Bounds
  readonly addresses: MeshAddresses
  readonly readinessPath: string
  readonly requestProtocol: RequestProtocol
  readonly announcementProtocol: AnnouncementProtocol
  readonly configurationSource: ConfigurationSource
  readonly registry: MemberRegistry
  /** Records of roll-outs; only needed if the bounds limit the exposure of new versions. */
  readonly rolloutRegistry?: RolloutRegistry
  readonly log: ConsolaInstance
  /** Sink of the log, if it can drop lines; the metrics report how many it dropped. */
  readonly sink?: LogSink
  readonly policies?: Partial<MeshPolicies>
  readonly observers?: readonly MeshObserver[]
  readonly seed?: number
  /** What the node may use of its machine; that of the smallest machine by default. */
  readonly limits?: ResourceLimits
  /** Called when a planned shutdown is complete. */
  readonly end: () => void
}

/** @public */
export interface MeshNode {
  readonly runtime: MeshRuntime
  /**
   * Opens the ports and joins the fleet.
   *
   * @returns a promise that resolves when all ports are open
   */
  readonly start: () => Promise<void>
  /** Closes everything immediately; for a planned shutdown, dispatch the event `stopAsked` instead. */
  readonly close: () => void
}

/**
 * Creates a node: state, handlers and servers.
 *
 * @param options - identity, addresses, and the protocols and stores of the deployment
 * @returns the node, not started
 * @public
 */
export function createMeshNode (options: MeshNodeOptions): MeshNode {
  const { identity, bounds, addresses, log, sink, policies, seed, observers = [], requestProtocol: protocol } = options
  const metrics = new MeshMetrics()
  const limits = options.limits ?? findResourceLimits(DEFAULT_RESOURCES)
  const state = createMeshState({ identity, bounds, policies, seed, bodyBytes: limits.bodyBytes })
  const runtime = new MeshRuntime({ state, observers: [metrics, ...observers] })
  const peers = new PeerHandler({
    runtime, log, address: identity.peerAddress, listenAddress: addresses.peers ?? identity.peerAddress
  })
  const account = new MemoryAccount({ runtime, log })
  const admission = new AdmissionHandler({ runtime, protocol, account, log })
  const gateway = new GatewayHandler({ runtime, protocol, identity, admission, account, log })
  const callerServer = new CallerServer({
    runtime, handler: gateway, protocol, account, maxConnections: limits.callerConnections, log
  })
  const announcements = new AnnouncementServer({ runtime, protocol: options.announcementProtocol, log })
  const { configurationSource: source } = options
  // The reducer starts it if this node is one of those that follow the store.
  const follower = new ConfigurationFollower({ runtime, source, log, active: false })
  const configuration = new ConfigurationHandler({ runtime, source, follower, log })
  const forwardServer = createForwardServer({
    runtime, handler: admission, configuration, account, maxConnections: limits.nodeConnections
  })
  const handlers = [
    account,
    peers,
    admission,
    gateway,
    announcements,
    configuration,
    new DirectoryHandler({ runtime, node: identity.nodeId, registry: options.registry, log }),
    new LifecycleHandler({ callerServer, forwardServer, end: options.end }),
    new LogHandler(log),
    new RolloutHandler({ runtime, registry: options.rolloutRegistry, log }),
    new TimerHandler(runtime)
  ]
  for (const handler of handlers) runtime.addHandler(handler)
  const servers: ReadonlyArray<readonly [Server, Address]> = [
    [callerServer.server, addresses.callers],
    [forwardServer, addresses.forward ?? identity.forwardAddress],
    [announcements.server, addresses.announcements],
    [createReadinessServer({ runtime, path: options.readinessPath }), addresses.readiness],
    [createMetricsServer({ runtime, metrics, log, sink }), addresses.metrics]
  ]
  return {
    runtime,
    start: async () => {
      await peers.open()
      for (const [server, address] of servers) await listen(server, address)
      void follower.run()
      runtime.dispatch({ slice: 'directory', type: 'nodeStarted' })
      log.info('node started', { node: identity.nodeId, boot: identity.bootId, service: identity.service })
    },
    close: () => {
      follower.stop()
      runtime.stop()
      for (const [server] of servers) {
        server.close()
        server.closeAllConnections()
      }
    }
  }
}

async function listen (server: Server, address: Address): Promise<void> {
  const { host, port } = splitAddress(address)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.off('error', reject)
      resolve()
    })
  })
}
