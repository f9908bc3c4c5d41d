import type { EventBase } from '../MeshEvent'

/** The process was asked to stop. @public */
export interface StopAsked extends EventBase {
  readonly slice: 'lifecycle'
  readonly type: 'stopAsked'
}

/** Time to look whether the process can end. @public */
export interface StopDue extends EventBase {
  readonly slice: 'lifecycle'
  readonly type: 'stopDue'
}

/** @public */
export type LifecycleEvent = StopAsked | StopDue
