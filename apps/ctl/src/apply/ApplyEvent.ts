import type { Millis } from '@lavenderturn/types'
import type { ApplyAnswer, CurrentDeclaration, FleetStatus, TokenAnswer } from '../client/ControlClient'

interface EventBase {
  /** Monotonic time. */
  readonly at: Millis
}

/** Input of the `apply` reducer. @public */
export type ApplyEvent = EventBase & (
  | { readonly type: 'started' }
  | { readonly type: 'currentRead', readonly current: CurrentDeclaration }
  | { readonly type: 'applyAnswered', readonly answer: ApplyAnswer }
  | { readonly type: 'tokenAnswered', readonly answer: TokenAnswer }
  | { readonly type: 'statusRead', readonly status: FleetStatus }
  /** A call failed without a response; `sent` is false if the node cannot have received it. */
  | { readonly type: 'callFailed', readonly call: ApplyCall, readonly sent: boolean, readonly detail: string }
  | { readonly type: 'waited' }
)

/** Calls to the node during an `apply`. @public */
export type ApplyCall = 'readCurrent' | 'sendApply' | 'findToken' | 'readStatus'
