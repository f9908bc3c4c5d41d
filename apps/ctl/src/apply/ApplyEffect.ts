import type { DeclarationDelta } from '@lavenderturn/declaration'
import type { Millis, NodeId, ResultName, Revision } from '@lavenderturn/types'
import type { ApplyRequest, ApplyToken } from '../client/ControlClient'

/** How an `apply` ended. @public */
export type ApplyOutcome =
  | { readonly kind: 'nothingToDo', readonly revision: Revision }
  | { readonly kind: 'dryRun', readonly base: Revision, readonly delta: DeclarationDelta }
  | { readonly kind: 'notApplied', readonly result?: ResultName, readonly detail?: string }
  | { readonly kind: 'unknown', readonly base: Revision, readonly token: ApplyToken, readonly detail: string }
  | {
    readonly kind: 'accepted'
    readonly revision: Revision
    readonly delta: DeclarationDelta
    /** Members that have the revision or a later one in force. */
    readonly inForce: readonly NodeId[]
    /** Members that do not, or whose revision is not known. */
    readonly pending: readonly NodeId[]
    /** Present if the members could not be read. */
    readonly detail?: string
  }

/** What the reducer asks of the program. @public */
export type ApplyEffect =
  | { readonly type: 'readCurrent' }
  | { readonly type: 'sendApply', readonly request: ApplyRequest }
  | { readonly type: 'findToken', readonly token: ApplyToken, readonly base: Revision }
  | { readonly type: 'readStatus' }
  | { readonly type: 'wait', readonly delay: Millis }
  | { readonly type: 'finish', readonly outcome: ApplyOutcome }
