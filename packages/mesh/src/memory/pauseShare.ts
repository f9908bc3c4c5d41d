import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { findThreshold } from './findThreshold'
import type { MemoryShare } from './MemoryState'
import { findLargest, isReceiving } from './memoryShares'
import { MIN_WINDOW_BYTES } from './memoryTimings'

/** Share of the threshold to which a body has to fall before it is read again; avoids a pause for every piece. */
const RESUME_SHARE = 0.5

/**
 * Stops reading a body that holds more than its part of the memory.
 *
 * @param state - the node's state
 * @param share - a body of which more was read
 * @returns effects
 * @internal
 */
export function pauseShare (state: MeshState, share: MemoryShare): MeshEffect[] {
  const { memory, now } = state
  // A connection whose requests wait cannot be paused.
  if (share.purpose === 'pipeline') return []
  const isRead = share.stage === 'receiving' || share.stage === 'reading' || share.stage === 'writing'
  if (!isRead || share.pausedSince !== undefined) return []
  // It was given up.
  if (!memory.shares.has(share.id)) return []
  if (isInWindow(share) || share.bytes <= findThreshold(memory, share, findLargest(memory, isReceiving))) return []
  share.pausedSince = now
  memory.paused.add(share)
  return [{ slice: 'memory', type: 'pause', share: share.id }]
}

/** Whether so little is held that the body is read in any case. */
function isInWindow ({ bytes, overheadBytes }: MemoryShare): boolean {
  return bytes - overheadBytes <= MIN_WINDOW_BYTES
}

/**
 * Goes on reading the bodies that hold less than their part of the memory again.
 *
 * @param state - the node's state
 * @returns effects
 * @internal
 */
export function resumeShares ({ memory, now }: MeshState): MeshEffect[] {
  if (memory.paused.size === 0) return []
  const largestRequest = findLargest(memory, isReceiving)
  const effects: MeshEffect[] = []
  for (const share of memory.paused) {
    const threshold = findThreshold(memory, share, largestRequest) * (share.stage === 'receiving' ? 1 : RESUME_SHARE)
    if (!isInWindow(share) && share.bytes > threshold) continue
    memory.pausedMs += now - share.pausedSince!
    share.pausedSince = undefined
    memory.paused.delete(share)
    effects.push({ slice: 'memory', type: 'resume', share: share.id })
  }
  return effects
}
