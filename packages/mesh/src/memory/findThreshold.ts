import type { MemoryShare, MemoryState } from './MemoryState'
import { CALM_SHARE, RECEIVING_FACTOR, THRESHOLD_FACTOR } from './memoryTimings'

/** Largest piece of a body that is read at a time. */
const MAX_PIECE_BYTES = 65_536

/** Largest share of the memory that is reserved for such pieces. */
const MAX_RESERVE_SHARE = 0.125

/**
 * @param memory - the node's memory
 * @param share - a body
 * @param largestRequest - the largest body of a request that arrives, if there is one
 * @returns what the body may hold before it is no longer read
 * @internal
 */
export function findThreshold (
  memory: MemoryState,
  share: MemoryShare,
  largestRequest: MemoryShare | undefined
): number {
  const { limitBytes, usedBytes, keptBytes, shares } = memory
  const inUse = usedBytes - keptBytes
  const others = inUse - share.bytes
  // Each body may exceed its threshold by the piece with which it reaches it.
  const room = limitBytes - Math.min(limitBytes * MAX_RESERVE_SHARE, shares.size * MAX_PIECE_BYTES)
  if (others <= limitBytes * CALM_SHARE) return room - others
  if (share.stage !== 'receiving') return THRESHOLD_FACTOR * Math.max(0, room - inUse)
  // The body of a request is of no use before it is complete, so that the one that is closest to it goes first.
  if (share === largestRequest) return room - others
  return RECEIVING_FACTOR * Math.max(0, room - inUse)
}
