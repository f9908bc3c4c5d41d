import type { Fingerprint, Millis } from '@lavenderturn/types'

/** Crashes that happened while requests of one fingerprint ran. @public */
export interface CrashMark {
  /** Lives of backend servers that ended. */
  readonly incarnations: Set<string>
  at: Millis
}

/** @public */
export interface QuarantineState {
  readonly marks: Map<Fingerprint, CrashMark>
}

/**
 * @returns the state of a node that knows of no crash
 * @internal
 */
export function createQuarantineState (): QuarantineState {
  return { marks: new Map() }
}
