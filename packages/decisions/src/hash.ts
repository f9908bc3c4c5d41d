import xxhash from 'xxhash-wasm'

const { h32, h64ToString } = await xxhash()

/** Seed of the second half of `hash128`; any value other than the first half's 0. */
const SECOND_SEED = 1n

/**
 * Hashes text to 32 bits. Every node must get the same value, so the seed is fixed.
 *
 * @param text - the text
 * @returns an integer in `[0, 2^32)`
 * @public
 */
export function hash (text: string): number {
  return h32(text)
}

/**
 * Hashes text to 128 bits, so that no two texts of a team can be expected to meet.
 *
 * @param text - the text
 * @returns 32 hexadecimal digits
 * @public
 */
export function hash128 (text: string): string {
  return h64ToString(text) + h64ToString(text, SECOND_SEED)
}
