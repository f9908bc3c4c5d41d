import type { DataCentreId, NodeId } from '@lavenderturn/types'
import { BOUNDS } from './soakTimings'

/** @public */
export interface NodeSettingsOptions {
  readonly id: NodeId
  readonly dataCentre: DataCentreId
  /** Ports that the node listens on. */
  readonly ports: Readonly<Record<'announcements' | 'caller' | 'forward' | 'metrics' | 'peer' | 'readiness', number>>
  /** Ports of the links to the node and from it to the store. */
  readonly linkPorts: Readonly<Record<'forward' | 'peer' | 'store', number>>
}

/** Service of all backend servers of the soak. @public */
export const SOAK_SERVICE = 'stock'

/**
 * @param options - id, data centre and ports of a node
 * @returns content of the settings file that `docs/configuration-mesh.md` describes
 * @public
 */
export function makeNodeSettings ({ id, dataCentre, ports, linkPorts }: NodeSettingsOptions): Record<string, unknown> {
  const toAddress = (port: number): string => `127.0.0.1:${port}`
  return {
    nodeId: id,
    dataCentre,
    service: SOAK_SERVICE,
    peerAddress: toAddress(linkPorts.peer),
    peerListenAddress: toAddress(ports.peer),
    forwardAddress: toAddress(linkPorts.forward),
    forwardListenAddress: toAddress(ports.forward),
    callerAddress: toAddress(ports.caller),
    announcementAddress: toAddress(ports.announcements),
    readinessAddress: toAddress(ports.readiness),
    metricsAddress: toAddress(ports.metrics),
    storeAddress: toAddress(linkPorts.store),
    announceInterval: '1s',
    logLevel: 'debug',
    bounds: {
      revoke: `${BOUNDS.revokeMs}ms`,
      grace: `${BOUNDS.graceMs}ms`,
      coldOver: BOUNDS.coldOver,
      coldSlack: BOUNDS.coldSlack,
      retryRatio: 0.2,
      retrySlack: 60,
      exposeShare: BOUNDS.exposeShare,
      exposeSlack: BOUNDS.exposeSlack,
      rollback: `${BOUNDS.rollbackMs}ms`
    }
  }
}
