import type { EventBase } from '../NodeEvent'
import type { ControlDocument } from './ControlDocument'

/** @public */
export interface DocumentAccepted extends EventBase {
  readonly slice: 'control'
  readonly type: 'documentAccepted'
  readonly document: ControlDocument
}

/** @public */
export type ControlEvent = DocumentAccepted
