import type { PlatformCall } from './PlatformEvent'

/** How the stand-in fails calls during an outage. @public */
export type OutageKind = 'none' | 'unavailable' | 'reset' | 'silent'

/** Faults that can be switched on while the stand-in runs. @public */
export interface PlatformFaults {
  /** `unavailable`: 503; `reset`: closes the connection; `silent`: no response. Calls have no effect in an outage. */
  readonly outage: OutageKind
  /** Delay before each call takes effect; the caller may have timed out by then. */
  readonly delayMs: number
  /** Delay of the response after the effect. */
  readonly answerDelayMs: number
  /** Number of further writes that take effect without a response; -1: all writes. */
  readonly loseWriteAnswers: number
}

/** An item of the table service. @public */
export interface StoredItem {
  readonly partition: string
  readonly sort: string
  /** Attributes in the encoding of the protocol. */
  readonly attributes: Readonly<Record<string, unknown>>
  readonly version?: number
}

/** State of the stand-in, changed only by `reducePlatform`. @public */
export interface PlatformState {
  faults: PlatformFaults
  /** Items by table and key. */
  readonly items: Map<string, StoredItem>
  /** Objects by bucket and key. */
  readonly objects: Map<string, Uint8Array>
  /** Number of received calls by kind. */
  readonly calls: Record<PlatformCall['kind'], number>
}

/**
 * Creates the state of an empty platform.
 *
 * @returns a state without items, objects and faults
 * @public
 */
export function createPlatformState (): PlatformState {
  return {
    faults: { outage: 'none', delayMs: 0, answerDelayMs: 0, loseWriteAnswers: 0 },
    items: new Map(),
    objects: new Map(),
    calls: { getItem: 0, putItem: 0, query: 0, deleteItem: 0, getObject: 0, putObject: 0 }
  }
}
