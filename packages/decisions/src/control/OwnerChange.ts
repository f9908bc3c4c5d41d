import type { Millis } from '@lavenderturn/types'
import type { AssignmentEntry } from './Assignment'

/** The fields of the control slice's `ownerChanged` event that other slices use. @public */
export interface OwnerChange {
  readonly at: Millis
  readonly entry: AssignmentEntry
  /** The entry that was in force before; absent if none was known. */
  readonly previous?: AssignmentEntry
}

/** Epoch of the first assignment. */
const FIRST_EPOCH = 1

/**
 * Tells whether an entry is the first for its partition and domain.
 *
 * @param entry - assignment entry
 * @returns whether no node can have owned the partition in the domain before
 * @public
 */
export function isFirstEntry ({ epoch, sequence }: AssignmentEntry): boolean {
  return epoch <= FIRST_EPOCH && sequence === 0
}
