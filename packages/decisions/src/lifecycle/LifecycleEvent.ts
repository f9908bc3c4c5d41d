import type { Millis } from '@lavenderturn/types'
import type { EventBase } from '../NodeEvent'

/** An operator or the platform requested a planned stop. Further requests have no effect. @public */
export interface DrainRequested extends EventBase {
  readonly slice: 'lifecycle'
  readonly type: 'drainRequested'
  /** Minimum time for which the ports stay open, so that callers that do not know of the stop yet are served. */
  readonly grace: Millis
}

/**
 * Raised once when a planned stop begins. `handleDrainStarted` then starts everything that must finish before the
 * ports close.
 *
 * @public
 */
export interface DrainStarted extends EventBase {
  readonly slice: 'lifecycle'
  readonly type: 'drainStarted'
}

/** A slice has work that must finish before the ports close. @public */
export interface HoldPlaced extends EventBase {
  readonly slice: 'lifecycle'
  readonly type: 'holdPlaced'
  readonly hold: string
}

/** The work for which a hold was placed has finished. @public */
export interface HoldReleased extends EventBase {
  readonly slice: 'lifecycle'
  readonly type: 'holdReleased'
  readonly hold: string
}

/** The grace period of the planned stop has ended. @public */
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
