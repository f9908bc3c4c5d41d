/** Parameters of the 32-bit FNV-1a hash. */
const FNV_OFFSET_BASIS = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * Hashes a text to 32 bits. All nodes get the same value. The final mix spreads texts that differ only in their last
 * characters.
 *
 * @param text - the text to hash
 * @returns an integer in `[0, 2^32)`
 * @internal
 */
export function hashText (text: string): number {
  let value = FNV_OFFSET_BASIS
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME)
  }
  return finalizeHash(value)
}

/**
 * Combines two hashes into one that fully depends on both.
 *
 * @param left - first hash
 * @param right - second hash
 * @returns an integer in `[0, 2^32)`
 * @internal
 */
export function mixHashes (left: number, right: number): number {
  return finalizeHash(Math.imul(left ^ right, FNV_PRIME) ^ right)
}

/** The final mix of MurmurHash3. */
function finalizeHash (value: number): number {
  let mixed = Math.imul(value ^ (value >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
