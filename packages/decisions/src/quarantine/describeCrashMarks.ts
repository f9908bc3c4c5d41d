import { millis } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import { QUARANTINE_DURATION } from './recordCrash'
import type { GossipedCrashMark } from './QuarantineEvent'

/** Maximum number of marks in a gossip message, the latest first; 64 marks take about 6 KB. */
const MAX_MARKS_PER_MESSAGE = 64

/**
 * Lists the crash marks to send in a gossip message.
 *
 * @param state - the node's state
 * @returns the marks with the latest crashes
 * @public
 */
export function describeCrashMarks ({ quarantine, now }: Readonly<NodeState>): GossipedCrashMark[] {
  const marks: GossipedCrashMark[] = []
  for (const [fingerprint, { crashes, cleared, lastCrashAt }] of [...quarantine.marks].reverse()) {
    if (now - lastCrashAt >= QUARANTINE_DURATION) continue
    marks.push({ fingerprint, crashes: [...crashes], cleared: [...cleared], age: millis(now - lastCrashAt) })
    if (marks.length === MAX_MARKS_PER_MESSAGE) break
  }
  return marks
}
