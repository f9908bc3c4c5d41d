import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { HeadRead, IntentAnswered, IntentAsked, PrepareAsked } from './ControlEvent'
import { observeRevision } from './observeRevision'
import type { WriteIntent } from './HeadRow'
import { findPeer } from './pollers'

/**
 * Minimum time that an intent stays open if its writer does not answer. The table service refuses signed requests older
 * than 5 minutes, so the writer's compare-and-set cannot take effect after this time.
 */
export const INTENT_LIFETIME_MS = 360_000

/**
 * Records that a writer may write the head row. While the outcome is unknown, this poller does not vouch for the
 * current revision: if the store becomes unreachable right after the write, only the writer may know of its success.
 *
 * @param state - the node's state
 * @param event - the writer's intent
 * @returns the acknowledgement
 * @internal
 */
export function handlePrepareAsked (state: NodeState, event: PrepareAsked): NodeEffect[] {
  recordIntent(state, { token: event.token, revision: event.revision, writer: event.writer })
  return [{ slice: 'control', type: 'answerPrepare', callId: event.callId }]
}

/**
 * Records an intent, unless its revision is already known to be taken.
 *
 * @param state - the node's state
 * @param intent - intent of this node or of another writer
 * @internal
 */
export function recordIntent ({ control, now }: NodeState, intent: WriteIntent): void {
  if (intent.revision <= control.highestKnownRevision) return
  control.intents.set(intent.token, { ...intent, receivedAt: now })
}

/**
 * Asks the writers of open intents for their outcomes.
 *
 * @param state - the node's state
 * @returns one request for each open intent of a reachable peer
 * @internal
 */
export function requestIntentOutcomes (state: NodeState): NodeEffect[] {
  return [...state.control.intents.values()].flatMap(({ token, writer }) => {
    const peer = findPeer(state, writer)
    return peer === undefined ? [] : [{ slice: 'control', type: 'askIntent', peer, token } as const]
  })
}

/**
 * Answers a poller that asks for the outcome of a write of this node.
 *
 * @param state - the node's state
 * @param event - the poller's request
 * @returns the answer, without an outcome if the write is open or not known to this node
 * @internal
 */
export function answerIntent ({ control }: NodeState, { callId, token }: IntentAsked): NodeEffect[] {
  return [{ slice: 'control', type: 'answerIntent', callId, outcome: control.outcomes.get(token) }]
}

/**
 * Closes an intent whose outcome is known.
 *
 * @param state - the node's state
 * @param event - the writer's answer
 * @returns the fetch of the revision, if it was accepted
 * @internal
 */
export function handleIntentAnswered (state: NodeState, { token, from, outcome }: IntentAnswered): NodeEffect[] {
  const intent = state.control.intents.get(token)
  if (intent === undefined || outcome === undefined) return []
  state.control.intents.delete(token)
  return outcome === 'accepted' ? observeRevision(state, intent.revision, from) : []
}

/**
 * Closes intents that can no longer take effect.
 *
 * @param state - the node's state
 * @param event - a read of the head; intents for its revision and earlier ones are already closed
 * @internal
 */
export function expireIntents ({ control }: NodeState, { askedAt }: HeadRead): void {
  for (const { token, receivedAt } of control.intents.values()) {
    if (askedAt - receivedAt > INTENT_LIFETIME_MS && !control.writes.has(token)) control.intents.delete(token)
  }
}
