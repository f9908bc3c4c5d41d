import type { JournalPage, JournalRecord } from '@lavenderturn/runtime'
import type { Address, DataCentreId, NodeId } from '@lavenderturn/types'

/** A record with the node that wrote it. @public */
export interface MergedRecord extends JournalRecord {
  readonly node: NodeId
  readonly dataCentre: DataCentreId
}

/** Records of one node that are not there any more, or never came. @public */
export interface Gap {
  readonly node: NodeId
  readonly firstSeq: number
  readonly lastSeq: number
}

/** @public */
export interface Failure {
  readonly address: Address
  readonly problem: string
}

/** Everything that was read, in order. @public */
export interface MergedTimeline {
  readonly records: readonly MergedRecord[]
  readonly gaps: readonly Gap[]
  readonly failures: readonly Failure[]
}

/** @public */
export interface MergeState {
  readonly waiting: Set<Address>
  readonly pages: JournalPage[]
  readonly failures: Failure[]
}

/**
 * @returns the state before anything was read
 * @public
 */
export function createMergeState (): MergeState {
  return { waiting: new Set(), pages: [], failures: [] }
}
