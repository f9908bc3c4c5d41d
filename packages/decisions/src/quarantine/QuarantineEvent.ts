import type { BootId, EndpointId, Fingerprint, Millis } from '@lavenderturn/types'
import type { EventBase } from '../NodeEvent'

/** A backend server crashed while it ran requests. @public */
export interface CrashObserved extends EventBase {
  readonly slice: 'quarantine'
  readonly type: 'crashObserved'
  readonly endpoint: EndpointId
  /** Boot id of the process that crashed. */
  readonly bootId: BootId
  /** Fingerprints of all requests in flight at the backend server. */
  readonly fingerprints: readonly Fingerprint[]
}

/** A crash mark in a gossip message. @public */
export interface GossipedCrashMark {
  readonly fingerprint: Fingerprint
  /** Ids of crashes. */
  readonly crashes: readonly string[]
  /** Ids of those crashes after which a request with the fingerprint completed. */
  readonly cleared: readonly string[]
  /** Time since the latest crash. */
  readonly age: Millis
}

/** Received the crash marks of another node by gossip. @public */
export interface MarksHeard extends EventBase {
  readonly slice: 'quarantine'
  readonly type: 'marksHeard'
  readonly marks: readonly GossipedCrashMark[]
}

/** @public */
export type QuarantineEvent = CrashObserved | MarksHeard
