import type { EndpointId, Fingerprint } from '@lavenderturn/types'
import type { EventBase } from '../NodeEvent'

/** A backend server died while it ran requests. @public */
export interface CrashObserved extends EventBase {
  readonly slice: 'quarantine'
  readonly type: 'crashObserved'
  readonly endpoint: EndpointId
  /** Fingerprints of all requests that were in flight there. */
  readonly fingerprints: readonly Fingerprint[]
}

/** @public */
export type QuarantineEvent = CrashObserved
