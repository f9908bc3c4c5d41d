import { type Declaration, type DeclarationDelta, diffDeclarations, emptyDeclaration } from '@lavenderturn/declaration'
import type { Millis, NodeId, Revision } from '@lavenderturn/types'
import type { ApplyToken } from '../client/ControlClient'

/** @public */
export interface ApplyStateOptions {
  readonly declaration: Declaration
  readonly token: ApplyToken
  /** Absent: the revision in force when the program starts. */
  readonly base?: Revision
  readonly dryRun?: boolean
  /** How long to wait for a lost answer, and then for the revision to be in force. */
  readonly wait: Millis
}

/** State of one `apply`. @public */
export interface ApplyState {
  readonly declaration: Declaration
  readonly token: ApplyToken
  readonly wait: Millis
  readonly dryRun: boolean
  phase: 'reading' | 'sending' | 'finding' | 'watching' | 'finished'
  base: Revision | undefined
  delta: DeclarationDelta
  /** Set once the declaration is known to be accepted. */
  revision: Revision | undefined
  /** When to stop waiting in this phase. */
  deadline: Millis | undefined
  inForce: readonly NodeId[]
  pending: readonly NodeId[]
  /** Why the last call of this phase brought no answer. */
  detail: string | undefined
}

/**
 * @param options - what to apply
 * @returns the state before the first event
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
