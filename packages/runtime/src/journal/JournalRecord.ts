import type { AttemptId, DataCentreId, EndpointId, NodeId, RequestId, TeamId } from '@lavenderturn/types'
import type { HybridTime } from './HybridClock'

/** Fields of a record besides the ids. @public */
export type JournalDetail = Readonly<Record<string, string | number | boolean>>

/** One event or effect of one node. A record never contains a caller's key. @public */
export interface JournalRecord {
  /** Sequence number, from 0 at the start of the process; a gap means that records are missing. */
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
  /** Wall time at which the process started; distinguishes processes that used the same node id. */
  readonly startedAtMs: number
  /** Sequence number of the oldest record that has not been overwritten. */
  readonly firstSeq: number
  /** Sequence number of the next record. */
  readonly nextSeq: number
  readonly records: readonly JournalRecord[]
}
