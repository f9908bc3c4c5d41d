import type { MeshEffect } from '../MeshEffect'
import type { MemoryState } from './MemoryState'
import { UNCOLLECTED_SHARE } from './memoryTimings'

/**
 * Collects freed memory if otherwise the process would use more than the node has for bodies.
 *
 * @param memory - the node's memory
 * @returns effects
 * @internal
 */
export function collectGarbage (memory: MemoryState): MeshEffect[] {
  const { limitBytes, usedBytes, uncollectedBytes } = memory
  if (uncollectedBytes < limitBytes * UNCOLLECTED_SHARE || usedBytes + uncollectedBytes < limitBytes) return []
  memory.uncollectedBytes = 0
  return [{ slice: 'memory', type: 'collect' }]
}
