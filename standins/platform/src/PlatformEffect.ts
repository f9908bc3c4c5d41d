import type { CallDue } from './PlatformEvent'
import type { StoredItem } from './PlatformState'

/** What a call comes to. @public */
export type PlatformAnswer =
  | { readonly kind: 'item', readonly item?: StoredItem }
  | { readonly kind: 'items', readonly items: readonly StoredItem[] }
  | { readonly kind: 'done' }
  | { readonly kind: 'conditionFailed' }
  | { readonly kind: 'object', readonly bytes?: Uint8Array }
  | { readonly kind: 'unavailable' }

/** Answers a call after a delay. @public */
export interface Answer {
  readonly type: 'answer'
  readonly exchange: number
  readonly delayMs: number
  readonly answer: PlatformAnswer
}

/** Closes the connection of a call without an answer. @public */
export interface Reset {
  readonly type: 'reset'
  readonly exchange: number
}

/** Puts an event after a delay. @public */
export interface Delay {
  readonly type: 'delay'
  readonly delayMs: number
  readonly event: CallDue
}

/** @public */
export type PlatformEffect = Answer | Delay | Reset
