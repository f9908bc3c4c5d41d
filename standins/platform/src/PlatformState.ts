import type { PlatformCall } from './PlatformEvent'

/** What the stand-in does instead of answering while a service is out. @public */
export type OutageKind = 'none' | 'unavailable' | 'reset' | 'silent'

/** Faults that an operator commands. @public */
export interface PlatformFaults {
  /** `unavailable`: 503; `reset`: the connection is closed; `silent`: no answer. Calls have no effect meanwhile. */
  readonly outage: OutageKind
  /** Delay of the effect of each call; a caller may have given up by then. */
  readonly delayMs: number
  /** Delay of the answer after the effect. */
  readonly answerDelayMs: number
  /** Answers to writes that are dropped after the effect; -1: all. */
  readonly loseWriteAnswers: number
}

/** @public */
export interface StoredItem {
  readonly partition: string
  readonly sort: string
  /** Attributes as the protocol writes them. */
  readonly attributes: Readonly<Record<string, unknown>>
  readonly version?: number
}

/** State of the stand-in; only `reducePlatform` changes it. @public */
export interface PlatformState {
  faults: PlatformFaults
  /** Items by table and key. */
  readonly items: Map<string, StoredItem>
  /** Objects by bucket and key. */
  readonly objects: Map<string, Uint8Array>
  /** Calls that came, by kind. */
  readonly calls: Record<PlatformCall['kind'], number>
}

/**
 * @returns a platform without rows, objects and faults
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
