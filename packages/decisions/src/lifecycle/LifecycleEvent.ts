import type { Millis } from '@lavenderturn/types'
import type { EventBase } from '../NodeEvent'

/** The operators, or the platform, asked the node to stop. A second request changes nothing. @public */
export interface DrainRequested extends EventBase {
  readonly slice: 'lifecycle'
  readonly type: 'drainRequested'
  /** How long the ports stay open at least, so that nobody is cut who has not heard of the stop yet. */
  readonly grace: Millis
}

/**
 * Raised once when a planned stop begins. Slices that must finish something before the ports close handle it in
 * `reduceDrainStarted`.
 *
 * @public
 */
export interface DrainStarted extends EventBase {
  readonly slice: 'lifecycle'
  readonly type: 'drainStarted'
}

/** A slice must finish something before the ports close. @public */
export interface HoldPlaced extends EventBase {
  readonly slice: 'lifecycle'
  readonly type: 'holdPlaced'
  readonly hold: string
}

/** What a hold was placed for is finished. @public */
export interface HoldReleased extends EventBase {
  readonly slice: 'lifecycle'
  readonly type: 'holdReleased'
  readonly hold: string
}

/** @public */
export interface GraceEnded extends EventBase {
  readonly slice: 'lifecycle'
  readonly type: 'graceEnded'
}

/** No exchange is open at any port. @public */
export interface IdleReached extends EventBase {
  readonly slice: 'lifecycle'
  readonly type: 'idleReached'
}

/** The ports are closed and the last connections have ended. @public */
export interface ListenersClosed extends EventBase {
  readonly slice: 'lifecycle'
  readonly type: 'listenersClosed'
}

/** @public */
export type LifecycleEvent =
  | DrainRequested
  | DrainStarted
  | GraceEnded
  | HoldPlaced
  | HoldReleased
  | IdleReached
  | ListenersClosed
