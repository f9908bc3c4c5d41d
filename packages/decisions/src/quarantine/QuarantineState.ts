import type { Fingerprint, Millis } from '@lavenderturn/types'

/** Crashes that a fingerprint is suspected of. @public */
export interface CrashMark {
  /** Crashes by id: endpoint and boot id of the life that ended. */
  readonly crashes: Set<string>
  /** Crashes that were followed by a run that completed; they no longer count. */
  readonly cleared: Set<string>
  lastCrashAt: Millis
  /** Until when requests like it are refused. */
  quarantinedUntil?: Millis
}

/** @public */
export interface QuarantineState {
  readonly marks: Map<Fingerprint, CrashMark>
}

/**
 * @returns the empty state
 * @internal
 */
export function createQuarantineState (): QuarantineState {
  return { marks: new Map() }
}
