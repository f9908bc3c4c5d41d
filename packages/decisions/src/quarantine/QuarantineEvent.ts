import type { BootId, EndpointId, Fingerprint, Millis } from '@lavenderturn/types'
import type { EventBase } from '../NodeEvent'

/** A backend server died while it ran requests. @public */
export interface CrashObserved extends EventBase {
  readonly slice: 'quarantine'
  readonly type: 'crashObserved'
  readonly endpoint: EndpointId
  /** The life that ended. */
  readonly bootId: BootId
  /** Fingerprints of all requests that were in flight there. */
  readonly fingerprints: readonly Fingerprint[]
}

/** A crash mark as nodes tell it to each other. @public */
export interface DescribedMark {
  readonly fingerprint: Fingerprint
  readonly crashes: readonly string[]
  /** Those of `crashes` that were followed by a run that completed. */
  readonly cleared: readonly string[]
  /** Time since the latest crash. */
  readonly age: Millis
}

/** Crash marks of another node came by gossip. @public */
export interface MarksHeard extends EventBase {
  readonly slice: 'quarantine'
  readonly type: 'marksHeard'
  readonly marks: readonly DescribedMark[]
}

/** @public */
export type QuarantineEvent = CrashObserved | MarksHeard
