import type { NodeId } from '@lavenderturn/types'
import type { Departure } from '../admission/Departure'
import type { MemberRecord } from './Member'

/** Writes this node's record to the registry, then reads the records of all nodes. @public */
export interface SyncRegistry {
  readonly slice: 'directory'
  readonly type: 'syncRegistry'
  readonly own: MemberRecord
}

/** Removes the record of a node that has left or failed permanently. @public */
export interface DropRecord {
  readonly slice: 'directory'
  readonly type: 'dropRecord'
  readonly node: NodeId
  /** Boot id of the record. A record written by a later process of the node is kept. */
  readonly boot: string
}

/** Records a departure of this node's backend server, so that later processes of this node know it. @public */
export interface RecordDeparture {
  readonly slice: 'directory'
  readonly type: 'recordDeparture'
  readonly departure: Departure
}

/** @public */
export type DirectoryEffect = DropRecord | RecordDeparture | SyncRegistry
