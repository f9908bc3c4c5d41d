import type { Fingerprint, Millis } from '@lavenderturn/types'

/** Crashes of backend servers that were running requests with the same fingerprint. @public */
export interface CrashMark {
  /** Incarnations of backend servers that crashed. */
  readonly incarnations: Set<string>
  at: Millis
}

/** @public */
export interface QuarantineState {
  readonly marks: Map<Fingerprint, CrashMark>
}

/**
 * @returns the state of a node without recorded crashes
 * @internal
 */
export function createQuarantineState (): QuarantineState {
  return { marks: new Map() }
}
