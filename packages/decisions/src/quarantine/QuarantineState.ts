import type { Fingerprint, Millis } from '@lavenderturn/types'

/** Crashes of backend servers that requests with a fingerprint are suspected to have caused. @public */
export interface CrashMark {
  /** Crashes by id: the endpoint and the boot id of the process that crashed. */
  readonly crashes: Set<string>
  /** Crashes after which a request with the fingerprint completed; they no longer count. */
  readonly cleared: Set<string>
  lastCrashAt: Millis
  /** When the quarantine ends; requests with the fingerprint are refused until then. */
  quarantinedUntil?: Millis
}

/** @public */
export interface QuarantineState {
  /** In order of their latest crash. */
  readonly marks: Map<Fingerprint, CrashMark>
}

/**
 * @returns the empty state
 * @internal
 */
export function createQuarantineState (): QuarantineState {
  return { marks: new Map() }
}
