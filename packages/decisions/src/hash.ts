import xxhash from 'xxhash-wasm'

const { h32, h64ToString } = await xxhash()

/** Seed of the low 64 bits of `hash128`. It only has to differ from 0, the seed of the high 64 bits. */
const LOW_HALF_SEED = 1n

/**
 * Hashes text to 32 bits. The seed is fixed because all nodes must compute the same value.
 *
 * @param text - the text
 * @returns an integer in `[0, 2^32)`
 * @public
 */
export function hash (text: string): number {
  return h32(text)
}

/**
 * Hashes text to 128 bits, which makes a collision between two texts of one team improbable.
 *
 * @param text - the text
 * @returns 32 hexadecimal digits
 * @public
 */
export function hash128 (text: string): string {
  return h64ToString(text) + h64ToString(text, LOW_HALF_SEED)
}
