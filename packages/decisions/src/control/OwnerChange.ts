import type { Millis } from '@lavenderturn/types'
import type { AssignmentEntry } from './Assignment'

/** The part of the control slice's `ownerChanged` event to which owners of partitions react. @public */
export interface OwnerChange {
  readonly at: Millis
  readonly entry: AssignmentEntry
  /** The entry that was in force before; absent when none was known. */
  readonly previous?: AssignmentEntry
}

/** Epoch of the first assignment. */
const FIRST_EPOCH = 1

/**
 * @param entry - an entry
 * @returns whether nobody can have owned the partition there before
 * @public
 */
export function isFirstEntry ({ epoch, sequence }: AssignmentEntry): boolean {
  return epoch <= FIRST_EPOCH && sequence === 0
}
