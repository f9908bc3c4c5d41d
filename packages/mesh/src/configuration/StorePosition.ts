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

/**
 * @param left - a position
 * @param right - another position
 * @returns whether the first one is earlier; every position of an era is earlier than those of later eras
 * @public
 */
export function isEarlier (left: StorePosition, right: StorePosition): boolean {
  return left.era === right.era ? left.version < right.version : left.era < right.era
}
