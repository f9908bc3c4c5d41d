import type { MemoryShare, MemoryState } from './MemoryState'
import { MIN_WINDOW_BYTES, OVERHEAD_BYTES } from './memoryTimings'

/**
 * @param memory - the node's memory
 * @param share - a body
 * @param bytes - further bytes that it holds; negative if it holds less
 * @internal
 */
export function addBytes (memory: MemoryState, share: MemoryShare, bytes: number): void {
  if (share.overheadBytes === 0 && share.bytes + bytes > MIN_WINDOW_BYTES) {
    share.overheadBytes = OVERHEAD_BYTES
    addBytes(memory, share, OVERHEAD_BYTES)
  }
  share.bytes += bytes
  memory.usedBytes += bytes
  if (bytes < 0) memory.uncollectedBytes -= bytes
  if (share.stage === 'kept') memory.keptBytes += bytes
}

/**
 * @param memory - the node's memory
 * @param share - a body of which nothing is held any more
 * @internal
 */
export function removeShare (memory: MemoryState, share: MemoryShare): void {
  memory.shares.delete(share.id)
  memory.paused.delete(share)
  memory.usedBytes -= share.bytes
  memory.uncollectedBytes += share.bytes
  if (share.stage === 'kept') memory.keptBytes -= share.bytes
}

/**
 * @param memory - the node's memory
 * @param condition - which bodies to consider
 * @returns the one that holds most
 * @internal
 */
export function findLargest (
  { shares }: MemoryState,
  condition: (share: MemoryShare) => boolean
): MemoryShare | undefined {
  let largest: MemoryShare | undefined
  for (const share of shares.values()) {
    if (condition(share) && share.bytes > (largest?.bytes ?? 0)) largest = share
  }
  return largest
}

/**
 * @param share - a body
 * @returns whether it is the body of a request that arrives
 * @internal
 */
export function isReceiving ({ stage }: MemoryShare): boolean {
  return stage === 'receiving'
}
