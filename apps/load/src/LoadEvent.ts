import type { Millis } from '@lavenderturn/types'

/** Outcome of a request, as its caller sees it. @public */
export interface LoadOutcome {
  /** `answered`: complete response of the backend server; `refused`: problem details; `failed`: anything else. */
  readonly kind: 'answered' | 'refused' | 'failed'
  readonly status?: number
  /** Result code of the problem details. */
  readonly code?: number
  readonly run?: string
}

/** Input of the load reducer. @public */
export type LoadEvent =
  | { readonly type: 'started', readonly at: Millis }
  /** The next request of the stream is due. */
  | { readonly type: 'due', readonly at: Millis, readonly stream: number }
  | {
    readonly type: 'ended',
    readonly at: Millis,
    readonly stream: number,
    readonly sequence: number,
    readonly outcome: LoadOutcome
  }

/** Side effects that the load reducer requests. @public */
export type LoadEffect =
  | { readonly type: 'wait', readonly stream: number, readonly until: Millis }
  | { readonly type: 'send', readonly stream: number, readonly sequence: number, readonly target: number }
  | { readonly type: 'finish' }
