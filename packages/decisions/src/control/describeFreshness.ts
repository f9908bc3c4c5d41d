import type { NodeState } from '../NodeState'
import type { AssignmentEntry } from './Assignment'
import type { FreshnessReport, HeartbeatReport } from './ControlEvent'
import { FRESHNESS_BOUND } from './isFresh'

/** Reports leave heartbeats out while the head was read within this time; the read is proof enough by itself. */
const RECENT_HEAD_READ_MS = 1_000

/**
 * Describes what this node knows of the newest revision, for gossip messages and for peers that ask. To be called
 * while an event is reduced: ages are taken from the time of the latest event.
 *
 * @param state - the node's state
 * @returns heartbeats and the newest read of the head with their ages, the highest revision heard of, and entries of
 * the assignment that the head does not show yet
 * @public
 */
export function describeFreshness (state: NodeState): FreshnessReport {
  const { control, now } = state
  const headReadAge = now - control.headReadAt
  const isCurrent = headReadAge <= FRESHNESS_BOUND
  return {
    heartbeats: headReadAge <= RECENT_HEAD_READ_MS ? [] : listHeartbeats(state),
    headReadAge: isCurrent ? headReadAge : undefined,
    revision: control.highestHeard,
    assignmentChanges: listUnrecordedHandOvers(state)
  }
}

/**
 * @param state - the node's state
 * @returns entries of the assignment that the revision in force does not show yet
 * @internal
 */
export function listUnrecordedHandOvers ({ control }: NodeState): AssignmentEntry[] {
  return [...control.unrecordedHandOvers].map((key) => control.assignment.get(key)!)
}

function listHeartbeats ({ control, now }: NodeState): HeartbeatReport[] {
  const reports: HeartbeatReport[] = []
  for (const [dataCentre, { at, revision, members }] of control.heartbeats) {
    const ageMillis = now - at
    if (ageMillis <= FRESHNESS_BOUND) reports.push({ dataCentre, ageMillis, revision, members })
  }
  return reports
}
