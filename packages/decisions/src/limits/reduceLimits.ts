import { partitionOf } from '../control/Assignment'
import { isFresh } from '../control/isFresh'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { raise } from '../raise'
import { acceptHandOver } from './acceptHandOver'
import { answerGrantRequest, applyGrantReturn, servePending } from './answerGrantRequest'
import { applyRecall } from './applyRecall'
import { handleTokenWaitExpired, serveWaitingRequests } from './charge'
import type { GrantKey } from './GrantMessages'
import type { AskAnswered, AskFailed, BucketDue, GrantAsked, GrantRecalled, LimitsEvent } from './LimitsEvent'
import { denyAllPending } from './pendingGrantRequests'
import { getBucket, sweepBuckets } from './refillBucket'
import { applyReply } from './requestGrant'
import { sendGrantReturn } from './sendGrantReturn'
import { handleHandOverAnswered, retryOffer, startHandOver } from './startHandOver'

/**
 * @param state - the node's state
 * @param event - an event of this slice
 * @returns effects
 * @internal
 */
export function reduceLimits (state: NodeState, event: LimitsEvent): NodeEffect[] {
  switch (event.type) {
    case 'askAnswered': return handleAskAnswered(state, event)
    case 'askFailed': return handleAskFailed(state, event)
    case 'bucketDue': return handleBucketDue(state, event)
    case 'grantAsked': return handleGrantAsked(state, event)
    case 'grantRecalled': return handleGrantRecalled(state, event)
    case 'grantReturned': return applyGrantReturn(state, event.statement)
    case 'handOverAnswered': return handleHandOverAnswered(state, event)
    case 'handOverDone': return [raise({ slice: 'lifecycle', type: 'holdReleased', hold: 'limits' })]
    case 'handOverDue': return retryOffer(state, event.key)
    case 'handOverOffered': return acceptHandOver(state, event)
    case 'leaveStarted': return startHandOver(state)
    case 'sweepDue': return sweepBuckets(state)
    case 'teamDue': return updateTeam(state, event)
    case 'tokenWaitExpired': return handleTokenWaitExpired(state, event)
  }
}

function handleGrantAsked (state: NodeState, { callId, ask }: GrantAsked): NodeEffect[] {
  const effects: NodeEffect[] = []
  const reply = answerGrantRequest(state, ask, callId, effects)
  return reply === undefined ? effects : [{ slice: 'limits', type: 'answerAsk', callId, reply }, ...effects]
}

function handleBucketDue (state: NodeState, { key, team }: BucketDue): NodeEffect[] {
  const owned = state.limits.owned.get(key)
  if (owned === undefined || owned.handOver !== undefined) return []
  if (!isFresh(state)) return denyAllPending(owned)
  const effects: NodeEffect[] = []
  const bucket = owned.buckets.has(team) ? getBucket(state, owned, team, effects) : undefined
  if (bucket !== undefined) servePending(state, owned, bucket, effects)
  return effects
}

function handleAskAnswered (state: NodeState, { reply }: AskAnswered): NodeEffect[] {
  const limiter = state.limits.limiters.get(reply.team)
  if (limiter === undefined) return []
  applyReply(state, limiter, reply)
  return updateTeam(state, reply)
}

function handleAskFailed (state: NodeState, { key, number, node }: AskFailed): NodeEffect[] {
  const limiter = state.limits.limiters.get(key.team)
  state.limits.unresponsiveSince.set(node, state.now)
  if (limiter?.outstanding.get(key.domain)?.number !== number) return []
  limiter.outstanding.delete(key.domain)
  return updateTeam(state, key)
}

function handleGrantRecalled (state: NodeState, { recall }: GrantRecalled): NodeEffect[] {
  const effects: NodeEffect[] = []
  const statement = applyRecall(state, recall)
  if (statement !== undefined) sendGrantReturn(state, partitionOf(recall.team), statement, effects)
  return effects
}

function updateTeam (state: NodeState, { team }: Pick<GrantKey, 'team'>): NodeEffect[] {
  const effects: NodeEffect[] = []
  const limiter = state.limits.limiters.get(team)
  if (limiter !== undefined) serveWaitingRequests(state, limiter, effects)
  return effects
}
