import type { Millis } from '@lavenderturn/types'

/** How one request ended, as its caller sees it. @public */
export interface LoadOutcome {
  /** `answered`: a whole answer of the backend server; `refused`: problem details; `failed`: neither. */
  readonly kind: 'answered' | 'refused' | 'failed'
  readonly status?: number
  /** Result code of a refusal. */
  readonly code?: number
  readonly run?: string
}

/** @public */
export type LoadEvent =
  | { readonly type: 'started', readonly at: Millis }
  /** The time of the stream's next request has come. */
  | { readonly type: 'due', readonly at: Millis, readonly stream: number }
  | {
    readonly type: 'ended',
    readonly at: Millis,
    readonly stream: number,
    readonly sequence: number,
    readonly outcome: LoadOutcome
  }

/** @public */
export type LoadEffect =
  | { readonly type: 'wait', readonly stream: number, readonly until: Millis }
  | { readonly type: 'send', readonly stream: number, readonly sequence: number, readonly target: number }
  | { readonly type: 'finish' }
