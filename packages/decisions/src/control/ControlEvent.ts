import type { EventBase } from '../NodeEvent'
import type { ControlDocument } from '@lavenderturn/declaration'

/** @public */
export interface DocumentAccepted extends EventBase {
  readonly slice: 'control'
  readonly type: 'documentAccepted'
  readonly document: ControlDocument
}

/** @public */
export type ControlEvent = DocumentAccepted
