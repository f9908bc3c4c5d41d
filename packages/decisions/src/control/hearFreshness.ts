import { type DataCentreId, millis, type Millis, type NodeId } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { ConfirmAnswered, FreshnessReport, GossipHeard } from './ControlEvent'
import { NEVER } from './ControlState'
import { hearRevision } from './hearRevision'
import { findMajorityAt } from './majority'
import { pollerQuorum } from './pollers'
import { recordOwners } from './recordOwners'

/**
 * Learns from a gossip message.
 *
 * @param state - the node's state
 * @param event - the sender's freshness report
 * @returns the fetch of a new revision, changes of owners
 * @internal
 */
export function hearGossip (state: NodeState, event: GossipHeard): NodeEffect[] {
  const effects = learnReport(state, event, event.from)
  if (event.askedAt !== undefined) {
    effects.push(...recordReply(state, event.from))
    trustReport(state, event, event.askedAt)
  }
  return effects
}

/**
 * Learns from the answer of a peer that was asked for its freshness.
 *
 * @param state - the node's state
 * @param event - the peer's freshness report
 * @returns the fetch of a new revision, changes of owners
 * @internal
 */
export function hearConfirm (state: NodeState, event: ConfirmAnswered): NodeEffect[] {
  const effects = learnReport(state, event, event.from)
  effects.push(...recordReply(state, event.from))
  trustReport(state, event, event.askedAt)
  const { control } = state
  if (event.vouches) {
    control.pollerAnswers.set(event.from, latest(control.pollerAnswers.get(event.from) ?? NEVER, event.askedAt))
  }
  const dataCentre = state.membership.members.get(event.from)?.record.dataCentre
  if (dataCentre !== undefined) refreshHeartbeat(state, dataCentre)
  return effects
}

/**
 * Records that a peer answered a call.
 *
 * @param state - the node's state
 * @param node - the peer
 * @returns nothing
 * @internal
 */
export function recordReply (state: NodeState, node: NodeId): NodeEffect[] {
  const dataCentre = state.membership.members.get(node)?.record.dataCentre
  if (dataCentre !== undefined) state.control.replies.set(dataCentre, state.now)
  return []
}

/**
 * Renews a data centre's heartbeat from the answers of its pollers. A majority of them is needed, so that a writer
 * that announced its intent to a majority of them reaches at least one that counts here.
 *
 * @param state - the node's state
 * @param dataCentre - the data centre
 * @internal
 */
export function refreshHeartbeat (state: NodeState, dataCentre: DataCentreId): void {
  const { control, identity } = state
  const pollers = control.pollers.get(dataCentre) ?? []
  const heardAt = pollers
    .map((node) => node === identity.nodeId ? ownAnswer(state) : control.pollerAnswers.get(node) ?? NEVER)
    .sort((a, b) => b - a)
  const at = heardAt[pollerQuorum(pollers.length) - 1] ?? NEVER
  const known = control.heartbeats.get(dataCentre)
  if (at > (known?.at ?? NEVER)) {
    control.heartbeats.set(dataCentre, {
      at, revision: control.highestHeard, members: control.weights.get(dataCentre) ?? 0
    })
  }
  control.majorityAt = findMajorityAt(state)
}

function ownAnswer (state: NodeState): Millis {
  return state.control.intents.size === 0 ? state.now : NEVER
}

/** Takes over what is true whenever it arrives: revisions and owners. */
function learnReport (state: NodeState, report: FreshnessReport, from: NodeId): NodeEffect[] {
  const effects = hearRevision(state, report.revision, from)
  for (const { revision } of report.heartbeats) effects.push(...hearRevision(state, revision, from))
  return effects.concat(recordOwners(state, report.assignmentChanges, 'handOver'))
}

/** Takes over ages, counted from the time of the question, which is never later than the answer. */
function trustReport (state: NodeState, report: FreshnessReport, askedAt: Millis): void {
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
  control.majorityAt = findMajorityAt(state)
}

function latest (a: Millis, b: Millis): Millis {
  return a > b ? a : b
}
