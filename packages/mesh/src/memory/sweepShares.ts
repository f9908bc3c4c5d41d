import { toId } from '@lavenderturn/types'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import { evictShare } from './evictShare'
import { findThreshold } from './findThreshold'
import { findLargest, isReceiving } from './memoryShares'
import type { MemoryShare, MemoryState } from './MemoryState'
import { MAX_BODY_PAUSE, MIN_BYTES_PER_SECOND, PRESSURE_SHARE, SLOW_TIMEOUT, SWEEP_INTERVAL } from './memoryTimings'
import { resumeShares } from './pauseShare'

/** Share of the memory that is made free for the largest body of a request. */
const MIN_ROOM_SHARE = 0.25

const MILLISECONDS_PER_SECOND = 1_000

/** Bytes that the other side has to move between two sweeps. */
const MIN_MOVED_BYTES = MIN_BYTES_PER_SECOND * SWEEP_INTERVAL / MILLISECONDS_PER_SECOND

/**
 * Schedules the next sweep while memory is short. Without pressure there is none.
 *
 * @param memory - the node's memory
 * @returns effects
 * @internal
 */
export function scheduleSweep (memory: MemoryState): MeshEffect[] {
  if (memory.isSweepScheduled || !isShort(memory)) return []
  memory.isSweepScheduled = true
  const event = { slice: 'memory', type: 'sweepDue' } as const
  return [{ slice: 'timer', type: 'set', id: toId('memory/sweep'), delay: SWEEP_INTERVAL, event }]
}

function isShort (memory: MemoryState): boolean {
  return memory.paused.size > 0 || isUnderPressure(memory)
}

function isUnderPressure ({ usedBytes, keptBytes, limitBytes }: MemoryState): boolean {
  return usedBytes - keptBytes > limitBytes * PRESSURE_SHARE
}

/**
 * Gives up bodies that do not move, the largest first, until memory is no longer short, and refuses the body of a
 * request if one has waited for memory too long.
 *
 * @param state - the node's state
 * @returns effects
 * @internal
 */
export function sweepShares (state: MeshState): MeshEffect[] {
  const { memory, now } = state
  memory.isSweepScheduled = false
  const effects: MeshEffect[] = []
  for (const share of memory.shares.values()) measureRate(state, share)
  while (isUnderPressure(memory)) {
    const slow = findLargest(memory, ({ slowSince }) => slowSince !== undefined && now - slowSince >= SLOW_TIMEOUT)
    if (slow === undefined) break
    effects.push(...evictShare(state, slow, 'slow'))
  }
  effects.push(...resumeShares(state))
  return [...effects, ...refuseRequest(state), ...scheduleSweep(memory)]
}

/**
 * Refuses the body of a request if one has waited for memory too long: the largest one if its sender does not send it,
 * and otherwise those that hold least, so that the largest one can go on.
 */
function refuseRequest (state: MeshState): MeshEffect[] {
  const { memory, now } = state
  const waiting = [...memory.paused].filter(isReceiving)
  if (!waiting.some(({ pausedSince }) => now - pausedSince! >= MAX_BODY_PAUSE)) return []
  const largest = findLargest(memory, isReceiving)!
  if (largest.pausedSince === undefined) {
    return largest.slowSince === undefined ? [] : [...evictShare(state, largest, 'memory'), ...resumeShares(state)]
  }
  return [...makeRoom(state, largest, waiting), ...resumeShares(state)]
}

function makeRoom (state: MeshState, largest: MemoryShare, waiting: readonly MemoryShare[]): MeshEffect[] {
  const { memory } = state
  const others = waiting.filter((share) => share !== largest).sort((left, right) => left.bytes - right.bytes)
  const needed = Math.min(largest.bytes, memory.limitBytes * MIN_ROOM_SHARE)
  const findRoom = (): number => findThreshold(memory, largest, largest) - largest.bytes
  const held = others.reduce((sum, { bytes }) => sum + bytes, 0)
  // If requests that are being served hold the memory, refusing all others would not help.
  if (findRoom() + held < needed) return others.slice(0, 1).flatMap((share) => evictShare(state, share, 'memory'))
  const effects: MeshEffect[] = []
  for (const share of others) {
    if (findRoom() >= needed) break
    effects.push(...evictShare(state, share, 'memory'))
  }
  return effects
}

function measureRate ({ now }: MeshState, share: MemoryShare): void {
  // A body that is not read has to wait; a response that is read, or has nothing to take, waits for its server.
  const waitsForReceiver = share.stage === 'writing' && share.bytes > 0
  const waitsForSender = share.stage === 'receiving' && share.pausedSince === undefined
  const isSlow = (waitsForReceiver || waitsForSender) && share.movedBytes < MIN_MOVED_BYTES
  share.movedBytes = 0
  share.slowSince = isSlow ? share.slowSince ?? now : undefined
}
