import type { NodeId } from '@lavenderturn/types'
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

/** @public */
export type DirectoryEffect = DropRecord | SyncRegistry
