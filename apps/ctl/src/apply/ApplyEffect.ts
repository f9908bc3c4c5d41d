import type { DeclarationDelta } from '@lavenderturn/declaration'
import type { Millis, NodeId, ResultCodeName, Revision } from '@lavenderturn/types'
import type { ApplyRequest, ApplyToken } from '../client/ControlClient'

/** Outcome of an `apply`. @public */
export type ApplyOutcome =
  | { readonly kind: 'nothingToDo', readonly revision: Revision }
  | { readonly kind: 'dryRun', readonly base: Revision, readonly delta: DeclarationDelta }
  | { readonly kind: 'notApplied', readonly result?: ResultCodeName, readonly detail?: string }
  | { readonly kind: 'unknown', readonly base: Revision, readonly token: ApplyToken, readonly detail: string }
  | {
    readonly kind: 'accepted'
    readonly revision: Revision
    readonly delta: DeclarationDelta
    /** Members on which this revision or a later one is in force. */
    readonly inForce: readonly NodeId[]
    /** Members on which an earlier revision is in force, or whose revision is unknown. */
    readonly pending: readonly NodeId[]
    /** Why the member list could not be read, if reading it failed. */
    readonly detail?: string
  }

/** Side effects that the reducer requests. @public */
export type ApplyEffect =
  | { readonly type: 'readCurrent' }
  | { readonly type: 'sendApply', readonly request: ApplyRequest }
  | { readonly type: 'findToken', readonly token: ApplyToken, readonly base: Revision }
  | { readonly type: 'readStatus' }
  | { readonly type: 'wait', readonly delay: Millis }
  | { readonly type: 'finish', readonly outcome: ApplyOutcome }
