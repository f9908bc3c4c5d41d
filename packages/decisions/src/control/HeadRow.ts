import type { Declaration, DeclarationDelta } from '@lavenderturn/declaration'
import type { Digest, NodeId, Revision, WriterToken } from '@lavenderturn/types'
import type { AssignmentEntry } from './Assignment'

/** A write of the head row that was accepted, by which a writer finds its own. @public */
export interface AcceptedWrite {
  readonly revision: Revision
  readonly token: WriterToken
}

/** Accepted writes that the head row lists, so that a writer finds its own after others have followed. */
export const ACCEPTED_WRITES_KEPT = 32

/** The one row that says which control document is in force; changed only by compare-and-set on `revision`. @public */
export interface HeadRow {
  readonly revision: Revision
  /** The revision that last changed the declaration; `apply` names it as its base. */
  readonly declarationRevision: Revision
  readonly snapshot: Digest
  /** Digest of the delta from `revision - 1` to `revision`. */
  readonly delta: Digest
  readonly token: WriterToken
  /** The latest accepted writes, newest first; the first is this one. */
  readonly accepted: readonly AcceptedWrite[]
  /** Highest epoch in the assignment. */
  readonly assignmentEpoch: number
}

/** What changed from one revision to the next. @public */
export interface ControlDelta {
  readonly revision: Revision
  /** Absent when only the assignment changed. */
  readonly declaration?: DeclarationDelta
  readonly assignment: readonly AssignmentEntry[]
}

/** The whole control document at one revision. @public */
export interface ControlSnapshot {
  readonly revision: Revision
  readonly declarationRevision: Revision
  readonly declaration: Declaration
  readonly assignment: readonly AssignmentEntry[]
}

/** Announces that a writer may raise the head row to `revision` from now on. @public */
export interface WriteIntent {
  readonly token: WriterToken
  readonly revision: Revision
  readonly writer: NodeId
}
