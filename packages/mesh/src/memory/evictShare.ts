import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { EvictionReason } from './MemoryEffect'
import { findLargest, removeShare } from './memoryShares'
import type { MemoryShare } from './MemoryState'

/**
 * Gives up bodies until all together fit: first those that are only kept, then the largest one.
 *
 * @param state - the node's state
 * @returns effects
 * @internal
 */
export function evictExcess (state: MeshState): MeshEffect[] {
  const { memory } = state
  const effects: MeshEffect[] = []
  while (memory.usedBytes > memory.limitBytes) {
    const share = findLargest(memory, ({ stage }) => stage === 'kept') ?? findLargest(memory, canEvict)
    if (share === undefined) break
    effects.push(...evictShare(state, share, 'memory'))
  }
  return effects
}

/**
 * @param state - the node's state
 * @param share - the body to give up
 * @param reason - why
 * @returns effects
 * @internal
 */
export function evictShare (state: MeshState, share: MemoryShare, reason: EvictionReason): MeshEffect[] {
  const { memory, now } = state
  const { id, purpose, stage, bytes, callerRequestId: request, pausedSince, slowSince } = share
  const fields = {
    request,
    purpose,
    stage,
    reason,
    bytes,
    usedBytes: memory.usedBytes,
    limitBytes: memory.limitBytes,
    pausedMs: pausedSince === undefined ? undefined : Math.round(now - pausedSince),
    slowMs: slowSince === undefined ? undefined : Math.round(now - slowSince)
  }
  removeShare(memory, share)
  return [
    { slice: 'memory', type: 'evict', share: id, reason },
    // Only the memory of an older response is lost with a kept one.
    { slice: 'log', type: 'line', level: stage === 'kept' ? 'debug' : 'info', message: 'body given up', fields }
  ]
}

function canEvict ({ stage }: MemoryShare): boolean {
  return stage !== 'serving'
}
