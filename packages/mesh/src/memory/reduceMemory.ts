import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { collectGarbage } from './collectGarbage'
import { evictExcess } from './evictShare'
import type { MemoryEvent, ShareOpened } from './MemoryEvent'
import { addBytes, removeShare } from './memoryShares'
import type { MemoryShare } from './MemoryState'
import { pauseShare, resumeShares } from './pauseShare'
import { scheduleSweep, sweepShares } from './sweepShares'

/**
 * Keeps the account of all bodies that a node holds for callers, other nodes and its backend server. A body that holds
 * more than its part is not read further (back-pressure); if that does not suffice, bodies are given up.
 *
 * @param state - the node's state
 * @param event - an event of the account
 * @returns effects
 * @internal
 */
export function reduceMemory (state: MeshState, event: MemoryEvent): MeshEffect[] {
  const { memory } = state
  if (event.type === 'sweepDue') return sweepShares(state)
  if (event.type === 'shareOpened') return openShare(state, event)
  const share = memory.shares.get(event.share)
  // It was given up in the meantime.
  if (share === undefined) return []
  switch (event.type) {
    case 'bytesHeld': return holdBytes(state, share, event.bytes)
    case 'bytesTaken':
      share.movedBytes += event.bytes
      if (event.areFreed) addBytes(memory, share, -event.bytes)
      return resumeShares(state)
    case 'shareStaged':
      if (event.stage === 'kept' && share.stage !== 'kept') memory.keptBytes += share.bytes
      if (event.stage !== 'kept' && share.stage === 'kept') memory.keptBytes -= share.bytes
      share.stage = event.stage
      share.slowSince = undefined
      return resumeShares(state)
    case 'shareClosed':
      removeShare(memory, share)
      return resumeShares(state)
  }
}

function openShare (
  state: MeshState,
  { share: id, purpose, stage, bytes, callerRequestId }: ShareOpened
): MeshEffect[] {
  const share: MemoryShare = { id, purpose, callerRequestId, stage, bytes: 0, overheadBytes: 0, movedBytes: 0 }
  state.memory.shares.set(id, share)
  return holdBytes(state, share, bytes)
}

function holdBytes (state: MeshState, share: MemoryShare, bytes: number): MeshEffect[] {
  if (share.stage === 'receiving') share.movedBytes += bytes
  addBytes(state.memory, share, bytes)
  return [
    ...evictExcess(state),
    ...pauseShare(state, share),
    ...collectGarbage(state.memory),
    ...scheduleSweep(state.memory)
  ]
}
