import type { RolloutRecord } from './RolloutRecord'

/** Reads the records of all roll-outs. Ignored while such a call is in progress. @public */
export interface ReadRecords {
  readonly slice: 'rollout'
  readonly type: 'readRecords'
}

/** Writes a record and the status that operators read, if the record's row still has a version. @public */
export interface WriteRecord {
  readonly slice: 'rollout'
  readonly type: 'writeRecord'
  readonly record: RolloutRecord
  /** 0 if the row must not exist. */
  readonly expectedVersion: number
}

/** @public */
export type RolloutEffect = ReadRecords | WriteRecord
