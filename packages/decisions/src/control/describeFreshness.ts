import type { NodeState } from '../NodeState'
import type { AssignmentEntry } from './Assignment'
import type { FreshnessReport, HeartbeatReport } from './ControlEvent'
import { FRESHNESS_BOUND } from './isFresh'

/** Reports omit heartbeats if the head was read within this time, because that read alone proves freshness. */
const RECENT_HEAD_READ_MS = 1_000

/**
 * Builds the freshness report that is sent with gossip messages and on request. Call it while an event is being
 * reduced, because ages are computed from the time of the latest event.
 *
 * @param state - the node's state
 * @returns the ages of heartbeats and of the newest read of the head, the highest known revision, and the assignment
 * entries that are not recorded in the head row yet
 * @public
 */
export function describeFreshness (state: NodeState): FreshnessReport {
  const { control, now } = state
  const headReadAge = now - control.headReadAt
  const isCurrent = headReadAge <= FRESHNESS_BOUND
  return {
    heartbeats: headReadAge <= RECENT_HEAD_READ_MS ? [] : listHeartbeats(state),
    headReadAge: isCurrent ? headReadAge : undefined,
    revision: control.highestKnownRevision,
    assignmentChanges: listUnrecordedHandOvers(state)
  }
}

/**
 * Lists hand-overs that are not recorded in the head row yet.
 *
 * @param state - the node's state
 * @returns their assignment entries
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
