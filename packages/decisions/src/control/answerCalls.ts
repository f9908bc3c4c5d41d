import { documentToDeclaration } from '@lavenderturn/declaration'
import { toId } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { ConfirmAsked, DeltasAsked, SnapshotAsked, StatusAsked } from './ControlEvent'
import { describeFreshness } from './describeFreshness'
import { MAJORITY_REPLY_LIFETIME } from './controlWrites'
import { refreshHeartbeat } from './receiveFreshness'
import type { ControlSnapshot } from './HeadRow'
import { isFresh } from './isFresh'
import { holdsMajority } from './majority'

/**
 * Answers a peer that asks whether its revision is the latest.
 *
 * @param state - the node's state
 * @param event - the peer's request
 * @returns the freshness report, and whether the answer counts towards the data centre's heartbeat
 * @internal
 */
export function answerConfirm (state: NodeState, { callId }: ConfirmAsked): NodeEffect[] {
  refreshHeartbeat(state, state.identity.dataCentre)
  return [{
    slice: 'control',
    type: 'answerConfirm',
    callId,
    report: describeFreshness(state),
    vouches: state.control.intents.size === 0
  }]
}

/**
 * Answers a peer that fetches deltas.
 *
 * @param state - the node's state
 * @param event - the peer's request
 * @returns the deltas after the peer's revision; none if the first of them is no longer kept
 * @internal
 */
export function answerDeltas ({ control }: NodeState, { callId, since }: DeltasAsked): NodeEffect[] {
  const { deltas, revision } = control
  const following = [...deltas.values()].filter((delta) => delta.revision > since)
  const complete = deltas.has(toId(since + 1))
  return [{ slice: 'control', type: 'answerDeltas', callId, revision, deltas: complete ? following : [] }]
}

/**
 * Answers a peer that fetches the whole control document.
 *
 * @param state - the node's state
 * @param event - the peer's request
 * @returns the document in force, if there is one
 * @internal
 */
export function answerSnapshot (state: NodeState, { callId }: SnapshotAsked): NodeEffect[] {
  return [{ slice: 'control', type: 'answerSnapshot', callId, snapshot: buildSnapshot(state) }]
}

/**
 * Answers an operator's request for the status of the control document.
 *
 * @param state - the node's state
 * @param event - the operator's request
 * @returns the status as this node knows it
 * @internal
 */
export function answerStatus (state: NodeState, { callId }: StatusAsked): NodeEffect[] {
  const { control, now } = state
  const reachable = [...control.lastReplyAt].filter(([, at]) => now - at <= MAJORITY_REPLY_LIFETIME).map(([id]) => id)
  if (!reachable.includes(state.identity.dataCentre)) reachable.push(state.identity.dataCentre)
  return [{
    slice: 'control',
    type: 'answerStatus',
    callId,
    status: {
      revision: control.revision,
      declarationRevision: control.document?.revision ?? toId(0),
      highestHeard: control.highestKnownRevision,
      fresh: isFresh(state),
      majorityReachable: holdsMajority(state, reachable),
      openIntents: control.intents.size,
      reachableDataCentres: reachable.sort()
    }
  }]
}

function buildSnapshot ({ control }: NodeState): ControlSnapshot | undefined {
  if (control.document === undefined) return undefined
  return {
    revision: control.revision,
    declarationRevision: control.document.revision,
    declaration: documentToDeclaration(control.document),
    assignment: [...control.assignment.values()]
  }
}
