const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * @param text - an ASCII text
 * @returns its 32-bit FNV-1a hash with the high bits folded in, because tables use the low bits
 * @internal
 */
export function hashText (text: string): number {
  let hash = FNV_OFFSET
  for (let at = 0; at < text.length; at++) hash = Math.imul(hash ^ text.charCodeAt(at), FNV_PRIME)
  return (hash ^ (hash >>> 15)) >>> 0
}
