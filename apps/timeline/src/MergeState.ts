import type { JournalPage, JournalRecord } from '@lavenderturn/runtime'
import type { Address, DataCentreId, NodeId } from '@lavenderturn/types'

/** A journal record and the node that wrote it. @public */
export interface MergedRecord extends JournalRecord {
  readonly node: NodeId
  readonly dataCentre: DataCentreId
}

/** Range of sequence numbers that is missing from the journal of a node. @public */
export interface SequenceGap {
  readonly node: NodeId
  readonly firstSeq: number
  readonly lastSeq: number
}

/** A node whose journal could not be fetched. @public */
export interface FetchFailure {
  readonly address: Address
  readonly problem: string
}

/** Merged journals, in the order of their hybrid times. @public */
export interface MergedTimeline {
  readonly records: readonly MergedRecord[]
  readonly gaps: readonly SequenceGap[]
  readonly failures: readonly FetchFailure[]
}

/** State of the merge reducer. @public */
export interface MergeState {
  /** Nodes whose journal has not been fetched yet. */
  readonly waiting: Set<Address>
  readonly pages: JournalPage[]
  readonly failures: FetchFailure[]
}

/**
 * @returns the initial state
 * @public
 */
export function createMergeState (): MergeState {
  return { waiting: new Set(), pages: [], failures: [] }
}
