import { partitionOf } from '../control/Assignment'
import { isFresh } from '../control/isFresh'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { raise } from '../raise'
import { acceptHandOver } from './acceptHandOver'
import { acceptReturn, answerAsk, serveHeld } from './answerAsk'
import { answerRecall } from './answerRecall'
import { acceptReply } from './askOwner'
import { expireWait, serveTeam } from './charge'
import type { GrantKey } from './GrantMessages'
import { denyHeld } from './holdAsks'
import type { AskAnswered, AskFailed, BucketDue, GrantAsked, GrantRecalled, LimitsEvent } from './LimitsEvent'
import { returnGrant } from './returnGrant'
import { openBucket, sweepBuckets } from './settleBucket'
import { answerOffer, offerAgain, startHandOver } from './startHandOver'

/**
 * @param state - the node's state
 * @param event - an event of this slice
 * @returns effects
 * @internal
 */
export function reduceLimits (state: NodeState, event: LimitsEvent): NodeEffect[] {
  switch (event.type) {
    case 'askAnswered': return takeAnswer(state, event)
    case 'askFailed': return failAsk(state, event)
    case 'bucketDue': return serveBucket(state, event)
    case 'grantAsked': return answerCall(state, event)
    case 'grantRecalled': return giveBack(state, event)
    case 'grantReturned': return acceptReturn(state, event.statement)
    case 'handOverAnswered': return answerOffer(state, event)
    case 'handOverDone': return [raise({ slice: 'lifecycle', type: 'holdReleased', hold: 'limits' })]
    case 'handOverDue': return offerAgain(state, event.key)
    case 'handOverOffered': return acceptHandOver(state, event)
    case 'leaveStarted': return startHandOver(state)
    case 'sweepDue': return sweepBuckets(state)
    case 'teamDue': return serve(state, event)
    case 'tokenWaitExpired': return expireWait(state, event)
  }
}

function answerCall (state: NodeState, { callId, ask }: GrantAsked): NodeEffect[] {
  const effects: NodeEffect[] = []
  const reply = answerAsk(state, ask, callId, effects)
  return reply === undefined ? effects : [{ slice: 'limits', type: 'answerAsk', callId, reply }, ...effects]
}

function serveBucket (state: NodeState, { key, team }: BucketDue): NodeEffect[] {
  const owned = state.limits.owned.get(key)
  if (owned === undefined || owned.handOver !== undefined) return []
  if (!isFresh(state)) return denyHeld(owned)
  const effects: NodeEffect[] = []
  const bucket = owned.buckets.has(team) ? openBucket(state, owned, team, effects) : undefined
  if (bucket !== undefined) serveHeld(state, owned, bucket, effects)
  return effects
}

function takeAnswer (state: NodeState, { reply }: AskAnswered): NodeEffect[] {
  const holding = state.limits.holdings.get(reply.team)
  if (holding === undefined) return []
  acceptReply(state, holding, reply)
  return serve(state, reply)
}

function failAsk (state: NodeState, { key, number, node }: AskFailed): NodeEffect[] {
  const holding = state.limits.holdings.get(key.team)
  state.limits.silentSince.set(node, state.now)
  if (holding?.asks.get(key.domain)?.number !== number) return []
  holding.asks.delete(key.domain)
  return serve(state, key)
}

function giveBack (state: NodeState, { recall }: GrantRecalled): NodeEffect[] {
  const effects: NodeEffect[] = []
  const statement = answerRecall(state, recall)
  if (statement !== undefined) returnGrant(state, partitionOf(recall.team), statement, effects)
  return effects
}

function serve (state: NodeState, { team }: Pick<GrantKey, 'team'>): NodeEffect[] {
  const effects: NodeEffect[] = []
  const holding = state.limits.holdings.get(team)
  if (holding !== undefined) serveTeam(state, holding, effects)
  return effects
}
