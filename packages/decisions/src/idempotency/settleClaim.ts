import { type DomainId, toId } from '@lavenderturn/types'
import { findOwner } from '../control/Assignment'
import type { GatewayRequest } from '../gateway/GatewayState'
import { findControlAddress } from '../limits/findControlAddress'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { applySettlement } from './answerClaim'
import { clearClaimTimers } from './claimKey'
import type { ClaimSettlement } from './ClaimMessages'
import { SETTLE_RETRY_INTERVAL, MAX_SETTLE_ATTEMPTS } from './claimTimes'
import type { PendingSettlement } from './IdempotencyState'

/** How a claimed request ended: it ran and was answered, it did not run, or its outcome is unknown. @public */
export type ClaimOutcome =
  | { readonly kind: 'answered', readonly status: number }
  | { readonly kind: 'not-run' }
  | { readonly kind: 'unknown' }

/**
 * Reports to the owners how a claimed request ended, so that a repeated request is refused with the correct outcome. A
 * claim without a majority is released, because its request has not been dispatched.
 *
 * @param state - the node's state
 * @param request - the request; ignored if it has no claim
 * @param outcome - how it ended
 * @returns effects
 * @public
 */
export function settleClaim (state: NodeState, request: GatewayRequest, outcome: ClaimOutcome): NodeEffect[] {
  const claim = state.idempotency.claims.get(request.id)
  if (claim === undefined) return []
  state.idempotency.claims.delete(request.id)
  const settlement: PendingSettlement = {
    claim, outcome: claim.granted ? outcome : { kind: 'not-run' }, left: new Set(claim.sent), attempts: 0
  }
  state.idempotency.settlements.set(request.id, settlement)
  return [...clearClaimTimers(request.id), ...sendSettlement(state, settlement)]
}

/**
 * Sends a settlement to the owners that have not confirmed it. The owner is looked up for each attempt, because it can
 * have changed since the last one.
 *
 * @param state - the node's state
 * @param pending - the settlement
 * @returns effects
 * @internal
 */
export function sendSettlement (state: NodeState, pending: PendingSettlement): NodeEffect[] {
  const effects: NodeEffect[] = []
  for (const domain of [...pending.left]) effects.push(...sendSettlementTo(state, pending, domain))
  const { requestId } = pending.claim
  pending.attempts += 1
  if (pending.left.size === 0 || pending.attempts >= MAX_SETTLE_ATTEMPTS) {
    state.idempotency.settlements.delete(requestId)
    return effects
  }
  effects.push({
    slice: 'timer',
    type: 'set',
    id: toId(`settle/${requestId}`),
    delay: SETTLE_RETRY_INTERVAL,
    event: { slice: 'idempotency', type: 'settleDue', requestId }
  })
  return effects
}

function sendSettlementTo (
  state: NodeState,
  { claim, outcome, left }: PendingSettlement,
  domain: DomainId
): NodeEffect[] {
  const owner = findOwner(state, claim.partition, domain)?.owner
  if (owner === undefined) return []
  const { team, digest, requestId: claimId } = claim
  const settlement: ClaimSettlement = { team, digest, claimId, gateway: state.identity.nodeId, domain, outcome }
  const effects: NodeEffect[] = []
  if (owner === state.identity.nodeId) {
    if (applySettlement(state, settlement, effects)) left.delete(domain)
    return effects
  }
  const address = findControlAddress(state, owner)
  if (address === undefined) return effects
  return [{ slice: 'idempotency', type: 'settle', node: owner, address, settlement }]
}
