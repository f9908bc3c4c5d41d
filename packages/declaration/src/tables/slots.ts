const MIN_SLOTS = 16

/** A table grows when a larger fraction of its slots is in use, because probe sequences would become too long. */
const MAX_LOAD_FACTOR = 0.75

/** A new table has space for 10% more entries, so that later deltas rarely make it grow. */
const HEADROOM_FACTOR = 1.1

/**
 * Computes the size of a new open-addressing table.
 *
 * @param entries - number of entries to store
 * @returns number of slots: a power of two, with space for additional entries
 * @internal
 */
export function slotCountFor (entries: number): number {
  let slots = MIN_SLOTS
  while (slots * MAX_LOAD_FACTOR < entries * HEADROOM_FACTOR) slots *= 2
  return slots
}

/**
 * Checks whether a table has to grow before another entry is added.
 *
 * @param entries - number of entries in the table
 * @param slots - number of slots of the table
 * @returns whether one more entry would exceed the maximum load factor
 * @internal
 */
export function exceedsMaxLoad (entries: number, slots: number): boolean {
  return entries + 1 > slots * MAX_LOAD_FACTOR
}

/**
 * Checks whether an entry can be moved into an earlier hole, so that probe sequences have no gaps after a removal
 * (backward-shift deletion).
 *
 * @param positions - `home`: the slot that the entry hashes to; `at`: the slot that holds it; `hole`: the free slot;
 *   `mask`: number of slots minus one
 * @returns whether a lookup would find the entry in the hole
 * @internal
 */
export function canMoveToHole (
  { home, at, hole, mask }: { readonly home: number, readonly at: number, readonly hole: number, readonly mask: number }
): boolean {
  return ((at - home) & mask) >= ((at - hole) & mask)
}
