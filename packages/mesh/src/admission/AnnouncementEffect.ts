import type { AnnouncementId } from './AnnouncementId'

/** Responds to a call of the backend server. @public */
export interface Acknowledge {
  readonly slice: 'announcement'
  readonly type: 'acknowledge'
  readonly call: AnnouncementId
  /** False if the departure that the server reported could not be recorded; the server then calls again. */
  readonly accepted: boolean
}

/** @public */
export type AnnouncementEffect = Acknowledge
