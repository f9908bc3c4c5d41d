import type { Millis, TimerId } from './ids'

/** Sets or clears a timer that raises an event when it fires. Setting a timer replaces one with the same id. @public */
export type TimerEffect<Event> =
  | {
    readonly slice: 'timer',
    readonly type: 'set',
    readonly id: TimerId,
    readonly delay: Millis,
    readonly event: Event
  }
  | { readonly slice: 'timer', readonly type: 'clear', readonly id: TimerId }
