import type { Address, BootId, EndpointId, ServiceId } from '@lavenderturn/types'
import type { EventBase } from '../NodeEvent'

/** A backend server sent its announcement to the admin port, as it does every second. @public */
export interface AnnouncementReceived extends EventBase {
  readonly slice: 'announcement'
  readonly type: 'received'
  readonly service: ServiceId
  readonly address: Address
  readonly slots: number
  readonly bootId: BootId
  /** `leaving` is a permanent `draining`: the backend server stops once its work is done. */
  readonly state: 'serving' | 'draining' | 'leaving'
}

/** A backend server has sent no announcement for `ANNOUNCEMENT_TIMEOUT`. @public */
export interface AnnouncementMissed extends EventBase {
  readonly slice: 'announcement'
  readonly type: 'missed'
  readonly endpoint: EndpointId
}

/** @public */
export type AnnouncementEvent = AnnouncementMissed | AnnouncementReceived
