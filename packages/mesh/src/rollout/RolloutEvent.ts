import type { StoreEra, StorePosition } from '../configuration/StorePosition'
import type { EventBase } from '../MeshEvent'
import type { RolloutEvidenceMessage, RolloutStepMessage } from '../messages/RolloutMessage'
import type { RolloutRecord, StoredRollout } from './RolloutRecord'

interface RolloutEventBase extends EventBase {
  readonly slice: 'rollout'
}

/** The records of all roll-outs were read. @public */
export interface RecordsRead extends RolloutEventBase {
  readonly type: 'recordsRead'
  readonly stored: readonly StoredRollout[]
  readonly era: StoreEra
}

/** The store has applied the write of a record. @public */
export interface RecordWritten extends RolloutEventBase {
  readonly type: 'recordWritten'
  readonly record: RolloutRecord
  readonly position: StorePosition
}

/** The row of a record has another version than the write expected. @public */
export interface RecordRejected extends RolloutEventBase {
  readonly type: 'recordRejected'
  readonly stored: StoredRollout
  readonly era: StoreEra
}

/** A write got no usable response. It may be applied later. @public */
export interface RecordNotWritten extends RolloutEventBase {
  readonly type: 'recordNotWritten'
  readonly record: RolloutRecord
  /** Error of the call, for logs. */
  readonly reason: string
}

/** The conductor of a roll-out told this node its step. @public */
export interface StepReceived extends RolloutEventBase {
  readonly type: 'stepReceived'
  readonly message: RolloutStepMessage
}

/** A node of the service reports the results of its server. @public */
export interface EvidenceReceived extends RolloutEventBase {
  readonly type: 'evidenceReceived'
  readonly message: RolloutEvidenceMessage
}

/** Timer: continues the roll-outs that this node takes part in. @public */
export interface RolloutCheckDue extends RolloutEventBase {
  readonly type: 'checkDue'
}

/** @public */
export type RolloutEvent =
  | EvidenceReceived
  | RecordNotWritten
  | RecordRejected
  | RecordsRead
  | RecordWritten
  | RolloutCheckDue
  | StepReceived
