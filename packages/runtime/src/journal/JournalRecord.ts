import type { AttemptId, DataCentreId, EndpointId, NodeId, RequestId, TeamId } from '@lavenderturn/types'
import type { HybridTime } from './HybridClock'

/** A value that a record may hold besides ids. @public */
export type JournalDetail = Readonly<Record<string, string | number | boolean>>

/** One event or effect of one node. A caller's key is never part of a record. @public */
export interface JournalRecord {
  /** Counts from 0 in each life of a process; a gap means that records are missing. */
  readonly seq: number
  readonly time: HybridTime
  readonly kind: 'event' | 'effect'
  /** `slice/type`. */
  readonly name: string
  readonly request?: RequestId
  readonly attempt?: AttemptId
  readonly team?: TeamId
  readonly endpoint?: EndpointId
  readonly detail: JournalDetail
}

/** Records of one node, as `/timeline` serves them. @public */
export interface JournalPage {
  readonly node: NodeId
  readonly dataCentre: DataCentreId
  /** Wall time at which the process started; tells two lives of a node id apart. */
  readonly startedAtMs: number
  /** Number of the oldest record that is still held. */
  readonly firstSeq: number
  /** Number that the next record will get. */
  readonly nextSeq: number
  readonly records: readonly JournalRecord[]
}
