import { millis } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import { QUARANTINE_TIME } from './markCrash'
import type { DescribedMark } from './QuarantineEvent'

/** Marks in one gossip message; the latest go first. 64 marks are about 6 KB. */
const MAX_DESCRIBED = 64

/**
 * Describes the crash marks for gossip.
 *
 * @param state - the node's state
 * @returns the marks of the latest crashes
 * @public
 */
export function describeCrashMarks ({ quarantine, now }: Readonly<NodeState>): DescribedMark[] {
  const marks: DescribedMark[] = []
  for (const [fingerprint, { crashes, cleared, lastCrashAt }] of [...quarantine.marks].reverse()) {
    if (now - lastCrashAt >= QUARANTINE_TIME) continue
    marks.push({ fingerprint, crashes: [...crashes], cleared: [...cleared], age: millis(now - lastCrashAt) })
    if (marks.length === MAX_DESCRIBED) break
  }
  return marks
}
