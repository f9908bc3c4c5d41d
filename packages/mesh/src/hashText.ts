/** Parameters of the 32-bit FNV-1a hash. */
const FNV_OFFSET_BASIS = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * Hashes text to 32 bits, the same on every node. The final mix spreads texts that differ in their last characters
 * only.
 *
 * @param text - the text
 * @returns an integer in `[0, 2^32)`
 * @internal
 */
export function hashText (text: string): number {
  let value = FNV_OFFSET_BASIS
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME)
  }
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b)
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35)
  return (value ^ (value >>> 16)) >>> 0
}
