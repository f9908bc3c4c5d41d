import { millis } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { addCrashes, quarantineIfNeeded, recordCrash, QUARANTINE_DURATION } from './recordCrash'
import type { CrashObserved, GossipedCrashMark, MarksHeard, QuarantineEvent } from './QuarantineEvent'

/**
 * @param state - the node's state
 * @param event - an event of this slice
 * @returns effects
 * @internal
 */
export function reduceQuarantine (state: NodeState, event: QuarantineEvent): NodeEffect[] {
  switch (event.type) {
    case 'crashObserved': return handleCrashObserved(state, event)
    case 'marksHeard': return handleMarksHeard(state, event)
  }
}

function handleCrashObserved (state: NodeState, { endpoint, bootId, fingerprints }: CrashObserved): NodeEffect[] {
  return [...new Set(fingerprints)].flatMap((fingerprint) => recordCrash(state, fingerprint, { endpoint, bootId }))
}

function handleMarksHeard (state: NodeState, { marks }: MarksHeard): NodeEffect[] {
  return marks.filter(({ age }) => age < QUARANTINE_DURATION).flatMap((described) => mergeMark(state, described))
}

function mergeMark (state: NodeState, { fingerprint, crashes, cleared, age }: GossipedCrashMark): NodeEffect[] {
  const known = state.quarantine.marks.get(fingerprint)
  const isNew = known === undefined || crashes.some((crash) => !known.crashes.has(crash))
  // Each gossip hop shifts the computed time by its transit time, so only a mark with a new crash sets it.
  const crashedAt = isNew ? millis(state.now - age) : known.lastCrashAt
  const mark = addCrashes(state, fingerprint, crashes, crashedAt)
  for (const crash of cleared) mark.cleared.add(crash)
  return isNew ? quarantineIfNeeded(mark, fingerprint) : []
}
