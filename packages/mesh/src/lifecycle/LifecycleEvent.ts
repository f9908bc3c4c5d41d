import type { Bounds } from '../Bounds'
import type { EventBase } from '../MeshEvent'

/** The process was asked to stop. @public */
export interface StopAsked extends EventBase {
  readonly slice: 'lifecycle'
  readonly type: 'stopAsked'
}

/** Timer: checks whether the process can end. @public */
export interface StopDue extends EventBase {
  readonly slice: 'lifecycle'
  readonly type: 'stopDue'
}

/** The settings file has changed. @public */
export interface BoundsChanged extends EventBase {
  readonly slice: 'lifecycle'
  readonly type: 'boundsChanged'
  readonly bounds: Bounds
}

/** @public */
export type LifecycleEvent = BoundsChanged | StopAsked | StopDue
