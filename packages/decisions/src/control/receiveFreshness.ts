import { type DataCentreId, millis, type Millis, type NodeId } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { ConfirmAnswered, FreshnessReport, GossipHeard } from './ControlEvent'
import { NEVER } from './ControlState'
import { observeRevision } from './observeRevision'
import { findMajorityProofTime } from './majority'
import { pollerQuorum } from './pollers'
import { recordOwners } from './recordOwners'

/**
 * Applies the freshness report of a gossip message.
 *
 * @param state - the node's state
 * @param event - the sender's freshness report
 * @returns the fetch of a new revision, and changes of owners
 * @internal
 */
export function handleGossipHeard (state: NodeState, event: GossipHeard): NodeEffect[] {
  const effects = applyReportedState(state, event, event.from)
  if (event.askedAt !== undefined) {
    effects.push(...recordReply(state, event.from))
    applyReportedAges(state, event, event.askedAt)
  }
  return effects
}

/**
 * Applies the freshness report that a peer sent on request.
 *
 * @param state - the node's state
 * @param event - the peer's freshness report
 * @returns the fetch of a new revision, and changes of owners
 * @internal
 */
export function handleConfirmAnswered (state: NodeState, event: ConfirmAnswered): NodeEffect[] {
  const effects = applyReportedState(state, event, event.from)
  effects.push(...recordReply(state, event.from))
  applyReportedAges(state, event, event.askedAt)
  const { control } = state
  if (event.vouches) {
    control.pollerConfirmedAt.set(event.from, latest(control.pollerConfirmedAt.get(event.from) ?? NEVER, event.askedAt))
  }
  const dataCentre = state.membership.members.get(event.from)?.record.dataCentre
  if (dataCentre !== undefined) refreshHeartbeat(state, dataCentre)
  return effects
}

/**
 * Records that a peer answered a call.
 *
 * @param state - the node's state
 * @param node - the peer that answered
 * @returns no effects
 * @internal
 */
export function recordReply (state: NodeState, node: NodeId): NodeEffect[] {
  const dataCentre = state.membership.members.get(node)?.record.dataCentre
  if (dataCentre !== undefined) state.control.lastReplyAt.set(dataCentre, state.now)
  return []
}

/**
 * Renews a data centre's heartbeat from the answers of its pollers. It needs a majority of them, so that every such
 * majority contains at least one poller to which a concurrent writer has announced its intent.
 *
 * @param state - the node's state
 * @param dataCentre - data centre whose heartbeat is renewed
 * @internal
 */
export function refreshHeartbeat (state: NodeState, dataCentre: DataCentreId): void {
  const { control, identity } = state
  const pollers = control.pollers.get(dataCentre) ?? []
  const confirmedAt = pollers
    .map((node) => node === identity.nodeId ? ownConfirmedAt(state) : control.pollerConfirmedAt.get(node) ?? NEVER)
    .sort((a, b) => b - a)
  const at = confirmedAt[pollerQuorum(pollers.length) - 1] ?? NEVER
  const known = control.heartbeats.get(dataCentre)
  if (at > (known?.at ?? NEVER)) {
    control.heartbeats.set(dataCentre, {
      at, revision: control.highestKnownRevision, members: control.memberCounts.get(dataCentre) ?? 0
    })
  }
  control.majorityProofAt = findMajorityProofTime(state)
}

function ownConfirmedAt (state: NodeState): Millis {
  return state.control.intents.size === 0 ? state.now : NEVER
}

/** Applies the parts of a report that stay valid however late it arrives: revisions and owners. */
function applyReportedState (state: NodeState, report: FreshnessReport, from: NodeId): NodeEffect[] {
  const effects = observeRevision(state, report.revision, from)
  for (const { revision } of report.heartbeats) effects.push(...observeRevision(state, revision, from))
  return effects.concat(recordOwners(state, report.assignmentChanges, 'handOver'))
}

/** Applies the ages of a report, measured from when it was requested, which is never later than when it was made. */
function applyReportedAges (state: NodeState, report: FreshnessReport, askedAt: Millis): void {
  const { control } = state
  if (report.headReadAge !== undefined) {
    control.headReadAt = latest(control.headReadAt, millis(askedAt - report.headReadAge))
  }
  for (const { dataCentre, ageMillis, revision, members } of report.heartbeats) {
    const at = millis(askedAt - ageMillis)
    if (at > (control.heartbeats.get(dataCentre)?.at ?? NEVER)) {
      control.heartbeats.set(dataCentre, { at, revision, members })
    }
  }
  control.majorityProofAt = findMajorityProofTime(state)
}

function latest (a: Millis, b: Millis): Millis {
  return a > b ? a : b
}
