import xxhash from 'xxhash-wasm'

const { h32 } = await xxhash()

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
