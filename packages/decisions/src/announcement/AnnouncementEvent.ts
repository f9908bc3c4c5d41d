import type { Address, BootId, EndpointId, ServiceId } from '@lavenderturn/types'
import type { EventBase } from '../NodeEvent'

/** A backend server announced itself at the admin port, as it does every second. @public */
export interface AnnouncementReceived extends EventBase {
  readonly slice: 'announcement'
  readonly type: 'received'
  readonly service: ServiceId
  readonly address: Address
  readonly slots: number
  readonly bootId: BootId
  /** `leaving` is `draining` for good; the backend server ends when its work is done. */
  readonly state: 'serving' | 'draining' | 'leaving'
}

/** A backend server has not announced itself for too long. @public */
export interface AnnouncementMissed extends EventBase {
  readonly slice: 'announcement'
  readonly type: 'missed'
  readonly endpoint: EndpointId
}

/** @public */
export type AnnouncementEvent = AnnouncementMissed | AnnouncementReceived
