import type { Declaration, DeclarationDelta } from '@lavenderturn/declaration'
import type { Digest, NodeId, Revision, WriterToken } from '@lavenderturn/types'
import type { AssignmentEntry } from './Assignment'

/** An accepted write of the head row. The token lets a writer recognise its own write. @public */
export interface AcceptedWrite {
  readonly revision: Revision
  readonly token: WriterToken
}

/** Number of accepted writes listed in the head row, so that a writer finds its own after others have followed. */
export const ACCEPTED_WRITES_KEPT = 32

/** The single row that names the control document in force; changed only by compare-and-set on `revision`. @public */
export interface HeadRow {
  readonly revision: Revision
  /** The revision that last changed the declaration; the base of the operator's next `apply`. */
  readonly declarationRevision: Revision
  /** Digest of the snapshot of `revision`. */
  readonly snapshot: Digest
  /** Digest of the delta from `revision - 1` to `revision`. */
  readonly delta: Digest
  /** Token of the write that created this version of the row. */
  readonly token: WriterToken
  /** The latest accepted writes, newest first; the first is this one. */
  readonly accepted: readonly AcceptedWrite[]
  /** Highest epoch in the assignment. */
  readonly assignmentEpoch: number
}

/** The changes from one revision to the next. @public */
export interface ControlDelta {
  readonly revision: Revision
  /** Absent when only the assignment changed. */
  readonly declaration?: DeclarationDelta
  /** New and changed entries. */
  readonly assignment: readonly AssignmentEntry[]
}

/** The whole control document at one revision. @public */
export interface ControlSnapshot {
  readonly revision: Revision
  readonly declarationRevision: Revision
  readonly declaration: Declaration
  readonly assignment: readonly AssignmentEntry[]
}

/** Announces that a writer may write the head row with `revision` from now on. @public */
export interface WriteIntent {
  readonly token: WriterToken
  readonly revision: Revision
  readonly writer: NodeId
}
