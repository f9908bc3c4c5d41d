import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import type { HeadRead, IntentAnswered, IntentAsked, PrepareAsked } from './ControlEvent'
import { observeRevision } from './observeRevision'
import type { WriteIntent } from './HeadRow'
import { findPeer } from './pollers'

/**
 * An intent whose writer is gone stays open for this time at least. The table service refuses a signed request that is
 * older than 5 minutes, so the writer's compare-and-set cannot take effect later.
 */
export const INTENT_LIFETIME_MS = 360_000

/**
 * Records that a writer may raise the head row. Until it is known what came of it, this poller does not vouch for the
 * present revision: if the store becomes unreachable right after the write, the writer may be the only one who knows.
 *
 * @param state - the node's state
 * @param event - the writer's intent
 * @returns the answer
 * @internal
 */
export function handlePrepareAsked (state: NodeState, event: PrepareAsked): NodeEffect[] {
  recordIntent(state, { token: event.token, revision: event.revision, writer: event.writer })
  return [{ slice: 'control', type: 'answerPrepare', callId: event.callId }]
}

/**
 * @param state - the node's state
 * @param intent - an intent of this node or of another
 * @internal
 */
export function recordIntent ({ control, now }: NodeState, intent: WriteIntent): void {
  if (intent.revision <= control.highestHeard) return
  control.intents.set(intent.token, { ...intent, receivedAt: now })
}

/**
 * Asks the writers of open intents what came of them.
 *
 * @param state - the node's state
 * @returns one question for each open intent of another node
 * @internal
 */
export function askIntents (state: NodeState): NodeEffect[] {
  return [...state.control.intents.values()].flatMap(({ token, writer }) => {
    const peer = findPeer(state, writer)
    return peer === undefined ? [] : [{ slice: 'control', type: 'askIntent', peer, token } as const]
  })
}

/**
 * Tells what became of a write of this node.
 *
 * @param state - the node's state
 * @param event - the question
 * @returns the answer; without outcome while the write is open, or when this node does not know the write
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
 * @returns the fetch of the accepted revision
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
 * @param event - a read of the head that shows an earlier revision
 * @internal
 */
export function expireIntents ({ control }: NodeState, { askedAt }: HeadRead): void {
  for (const { token, receivedAt } of control.intents.values()) {
    if (askedAt - receivedAt > INTENT_LIFETIME_MS && !control.writes.has(token)) control.intents.delete(token)
  }
}
