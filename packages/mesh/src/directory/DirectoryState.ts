import { type Millis, millis, type NodeId, type ServiceId } from '@lavenderturn/types'
import { FIRST_POSITION, type StoreEra } from '../configuration/StorePosition'
import type { Member } from './Member'

/** @public */
export interface DirectoryState {
  /** All known nodes, including this one. */
  readonly members: Map<NodeId, Member>
  /** The same members by the service of their backend server. */
  readonly byService: Map<ServiceId, Map<NodeId, Member>>
  /** Whether this node has written its own record and read those of the other nodes. */
  registered: boolean
  /** Sequence number of the next heartbeat. Heartbeats are sent to other data centres less often. */
  nextHeartbeat: number
  registryReadAt: Millis
  /** Era of the store to which this node's record was last written. */
  recordEra: StoreEra
}

/**
 * @returns a directory without members
 * @internal
 */
export function createDirectoryState (): DirectoryState {
  return {
    members: new Map(),
    byService: new Map(),
    registered: false,
    nextHeartbeat: 0,
    registryReadAt: millis(0),
    recordEra: FIRST_POSITION.era
  }
}
