import { toId } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { raise } from '../raise'
import { applySettlement, answerClaim, scheduleRecordSweep, sweepRecords } from './answerClaim'
import { countVote, refuseClaim, sendClaims } from './claimKey'
import { LEAVE_TIMEOUT } from './claimTimes'
import { handleCopyReply, answerCopy, copyRecords, dropHandedOverRecords } from './copyRecords'
import type {
  ClaimAsked, ClaimExpired, ClaimRetryDue, CopyAsked, CopyDue, IdempotencyEvent, SettleAnswered, SettleAsked, SettleDue
} from './IdempotencyEvent'
import { sendSettlement } from './settleClaim'

/**
 * @param state - the node's state
 * @param event - an event of this slice
 * @returns effects
 * @internal
 */
export function reduceIdempotency (state: NodeState, event: IdempotencyEvent): NodeEffect[] {
  switch (event.type) {
    case 'claimAnswered': return countVote(state, event.reply)
    case 'claimAsked': return answerClaimCall(state, event)
    case 'claimExpired': return expireClaim(state, event)
    case 'claimRetryDue': return retryClaim(state, event)
    case 'copyAnswered': return handleCopyReply(state, event)
    case 'copyAsked': return answerCopyCall(state, event)
    case 'copyDue': return retryCopy(state, event)
    case 'handOverDone': return [raise({ slice: 'lifecycle', type: 'holdReleased', hold: 'idempotency' })]
    case 'leaveExpired': return expireLeave(state)
    case 'leaveStarted': return startLeave(state)
    case 'settleAnswered': return confirmSettlement(state, event)
    case 'settleAsked': return answerSettleCall(state, event)
    case 'settleDue': return retrySettlement(state, event)
    case 'sweepDue': return handleSweepDue(state)
  }
}

function answerClaimCall (state: NodeState, { callId, ask }: ClaimAsked): NodeEffect[] {
  const effects: NodeEffect[] = []
  const reply = answerClaim(state, ask, effects)
  return [{ slice: 'idempotency', type: 'answerClaim', callId, reply }, ...effects]
}

function expireClaim (state: NodeState, { requestId }: ClaimExpired): NodeEffect[] {
  const claim = state.idempotency.claims.get(requestId)
  return claim === undefined || claim.granted ? [] : refuseClaim(claim, 'idempotencyUnverified')
}

function retryClaim (state: NodeState, { requestId }: ClaimRetryDue): NodeEffect[] {
  const claim = state.idempotency.claims.get(requestId)
  return claim === undefined || claim.granted ? [] : sendClaims(state, claim)
}

function answerCopyCall (state: NodeState, { callId, ask }: CopyAsked): NodeEffect[] {
  const reply = answerCopy(state, ask)
  return [{ slice: 'idempotency', type: 'answerCopy', callId, reply }, ...dropHandedOverRecords(state, ask, reply)]
}

function retryCopy (state: NodeState, { key }: CopyDue): NodeEffect[] {
  const owned = state.idempotency.ownedRecords.get(key)
  if (owned?.status !== 'copying') return []
  if (state.now < owned.opensAt) return copyRecords(state, owned)
  owned.status = 'open'
  return []
}

function startLeave (state: NodeState): NodeEffect[] {
  state.idempotency.leaving = true
  if (state.idempotency.ownedRecords.size === 0) return [raise({ slice: 'idempotency', type: 'handOverDone' })]
  return [{
    slice: 'timer',
    type: 'set',
    id: toId('idempotency/leave'),
    delay: LEAVE_TIMEOUT,
    event: { slice: 'idempotency', type: 'leaveExpired' }
  }]
}

function expireLeave (state: NodeState): NodeEffect[] {
  return state.idempotency.ownedRecords.size === 0 ? [] : [raise({ slice: 'idempotency', type: 'handOverDone' })]
}

function confirmSettlement (state: NodeState, { requestId, domain }: SettleAnswered): NodeEffect[] {
  const pending = state.idempotency.settlements.get(requestId)
  if (pending === undefined || !pending.left.delete(domain) || pending.left.size > 0) return []
  state.idempotency.settlements.delete(requestId)
  return [{ slice: 'timer', type: 'clear', id: toId(`settle/${requestId}`) }]
}

function answerSettleCall (state: NodeState, { callId, settlement }: SettleAsked): NodeEffect[] {
  const effects: NodeEffect[] = []
  const accepted = applySettlement(state, settlement, effects)
  return [{ slice: 'idempotency', type: 'answerSettle', callId, accepted }, ...effects]
}

function retrySettlement (state: NodeState, { requestId }: SettleDue): NodeEffect[] {
  const pending = state.idempotency.settlements.get(requestId)
  return pending === undefined ? [] : sendSettlement(state, pending)
}

function handleSweepDue (state: NodeState): NodeEffect[] {
  const effects: NodeEffect[] = []
  sweepRecords(state)
  state.idempotency.sweepScheduled = false
  scheduleRecordSweep(state, effects)
  return effects
}
