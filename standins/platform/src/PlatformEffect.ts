import type { CallDue } from './PlatformEvent'
import type { StoredItem } from './PlatformState'

/** Result of a call. @public */
export type PlatformAnswer =
  | { readonly kind: 'item', readonly item?: StoredItem }
  | { readonly kind: 'items', readonly items: readonly StoredItem[] }
  | { readonly kind: 'done' }
  | { readonly kind: 'conditionFailed' }
  | { readonly kind: 'object', readonly bytes?: Uint8Array }
  | { readonly kind: 'unavailable' }

/** Responds to a call after a delay. @public */
export interface Answer {
  readonly type: 'answer'
  readonly callId: number
  readonly delayMs: number
  readonly answer: PlatformAnswer
}

/** Closes the connection of a call without a response. @public */
export interface Reset {
  readonly type: 'reset'
  readonly callId: number
}

/** Dispatches an event after a delay. @public */
export interface Delay {
  readonly type: 'delay'
  readonly delayMs: number
  readonly event: CallDue
}

/** Effects that the reducer returns. @public */
export type PlatformEffect = Answer | Delay | Reset
