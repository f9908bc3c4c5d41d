const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * Computes the 32-bit FNV-1a hash of a text. The high bits are folded into the low ones, because hash tables use only
 * the low bits.
 *
 * @param text - an ASCII text
 * @returns the hash
 * @internal
 */
export function hashText (text: string): number {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  return (hash ^ (hash >>> 15)) >>> 0
}
