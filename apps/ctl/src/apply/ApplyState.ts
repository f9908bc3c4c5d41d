import { type Declaration, type DeclarationDelta, diffDeclarations, emptyDeclaration } from '@lavenderturn/declaration'
import type { Millis, NodeId, Revision } from '@lavenderturn/types'
import type { ApplyToken } from '../client/ControlClient'

/** @public */
export interface ApplyStateOptions {
  readonly declaration: Declaration
  readonly token: ApplyToken
  /** Revision that the declaration must follow; by default the one in force at the start. */
  readonly base?: Revision
  readonly dryRun?: boolean
  /** Time limit for resolving a lost response, and again for the revision to be in force on all members. */
  readonly wait: Millis
}

/** State of the `apply` reducer. @public */
export interface ApplyState {
  readonly declaration: Declaration
  readonly token: ApplyToken
  readonly wait: Millis
  readonly dryRun: boolean
  phase: 'reading' | 'sending' | 'resolvingToken' | 'awaitingRollout' | 'finished'
  base: Revision | undefined
  delta: DeclarationDelta
  /** Set once the declaration is known to be accepted. */
  revision: Revision | undefined
  /** End of the wait in the current phase. */
  deadline: Millis | undefined
  inForce: readonly NodeId[]
  pending: readonly NodeId[]
  /** Why the last call of this phase gave no conclusive response. */
  detail: string | undefined
}

/**
 * @param options - declaration, base revision, token and time limit
 * @returns the initial state
 * @public
 */
export function createApplyState ({ dryRun = false, base, ...options }: ApplyStateOptions): ApplyState {
  return {
    ...options,
    dryRun,
    base,
    phase: 'reading',
    delta: diffDeclarations(emptyDeclaration(), emptyDeclaration()),
    revision: undefined,
    deadline: undefined,
    inForce: [],
    pending: [],
    detail: undefined
  }
}
