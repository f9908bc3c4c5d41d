import type { NodeId } from '@lavenderturn/types'
import type { MemberRecord } from './Member'

/** Writes this node's record into the registry, then reads the records of all nodes. @public */
export interface SyncRegistry {
  readonly slice: 'directory'
  readonly type: 'syncRegistry'
  readonly own: MemberRecord
}

/** Removes the record of a node that has left or is gone for good. @public */
export interface DropRecord {
  readonly slice: 'directory'
  readonly type: 'dropRecord'
  readonly node: NodeId
  /** The record stays if a later process of that node has written it. */
  readonly boot: string
}

/** @public */
export type DirectoryEffect = DropRecord | SyncRegistry
