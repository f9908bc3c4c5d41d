/** Smallest number of slots of a table. */
const MIN_SLOTS = 16

/** A table grows when more than this share of its slots is in use; beyond it, probe sequences become long. */
const MAX_LOAD = 0.75

/** Room that a new table has for entries of later deltas, so that few of them make it grow. */
const HEADROOM = 1.1

/**
 * @param entries - entries to hold
 * @returns slots of an open-addressing table for them: a power of two, with headroom
 * @internal
 */
export function slotsFor (entries: number): number {
  let slots = MIN_SLOTS
  while (slots * MAX_LOAD < entries * HEADROOM) slots *= 2
  return slots
}

/**
 * @param entries - entries in a table
 * @param slots - its slots
 * @returns whether one more entry would fill the table too far
 * @internal
 */
export function isFull (entries: number, slots: number): boolean {
  return entries + 1 > slots * MAX_LOAD
}

/**
 * Tells whether the entry of a slot may move into a hole before it, so that probe sequences have no gaps after a
 * removal (backward-shift deletion).
 *
 * @param positions - the entry's home slot, its slot, the hole, and the mask of the table
 * @returns whether the entry can be found in the hole
 * @internal
 */
export function canFill (
  { home, at, hole, mask }: { readonly home: number, readonly at: number, readonly hole: number, readonly mask: number }
): boolean {
  return ((at - home) & mask) >= ((at - hole) & mask)
}
