import type { Branded } from '@lavenderturn/types'

/**
 * Rises each time the store is restored from a copy and has lost writes that it had acknowledged. It then gives out
 * the versions of the lost writes again. 0 for a store that does not state it.
 *
 * @public
 */
export type StoreEra = Branded<number, 'StoreEra'>

/** A point in the history of the store. @public */
export interface StorePosition {
  readonly era: StoreEra
  /** Version within the era. */
  readonly version: number
}

/** Before everything that a store contains. @public */
export const FIRST_POSITION: StorePosition = { era: 0 as StoreEra, version: 0 }
