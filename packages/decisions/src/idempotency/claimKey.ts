import { type DomainId, type KeyDigest, type RequestId, type TeamId, toId } from '@lavenderturn/types'
import { findOwner, listDomains, partitionOf } from '../control/Assignment'
import type { GatewayRequest } from '../gateway/GatewayState'
import { hash128 } from '../hash'
import { findAddress } from '../limits/findAddress'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { raise } from '../raise'
import { answerClaim, isNewer } from './answerClaim'
import type { ClaimAsk, ClaimReply, RunReport, SeatView } from './ClaimMessages'
import { CLAIM_RETRY, CLAIM_TIMEOUT } from './claimTimes'
import type { PendingClaim } from './IdempotencyState'

/**
 * Asks the owners to record a request's idempotency key. `gateway/claimed` or `gateway/claimRefused` follows.
 *
 * @param state - the node's state
 * @param request - a request with an idempotency key
 * @returns effects
 * @public
 */
export function claimKey (state: NodeState, request: GatewayRequest): NodeEffect[] {
  const team = request.team ?? toId<TeamId>('')
  const claim: PendingClaim = {
    requestId: request.id,
    team,
    digest: toId<KeyDigest>(hash128(request.idempotencyKey!)),
    partition: partitionOf(team),
    seats: new Map(),
    votes: new Map(),
    sent: new Set(),
    granted: false
  }
  state.idempotency.claims.set(request.id, claim)
  return [
    {
      slice: 'timer',
      type: 'set',
      id: toId(`claim/${request.id}`),
      delay: CLAIM_TIMEOUT,
      event: { slice: 'idempotency', type: 'claimExpired', requestId: request.id }
    },
    ...sendClaims(state, claim)
  ]
}

/**
 * Asks the owners that have not recorded a claim yet. The claim keeps its id, so an owner that has it recognises it.
 *
 * @param state - the node's state
 * @param claim - a claim without a majority
 * @returns effects
 * @internal
 */
export function sendClaims (state: NodeState, claim: PendingClaim): NodeEffect[] {
  const effects: NodeEffect[] = [{
    slice: 'timer',
    type: 'set',
    id: toId(`claimRetry/${claim.requestId}`),
    delay: CLAIM_RETRY,
    event: { slice: 'idempotency', type: 'claimRetryDue', requestId: claim.requestId }
  }]
  const seats = updateSeats(state, claim)
  for (const { domain } of seats) {
    if (claim.votes.get(domain) !== 'recorded') effects.push(...sendClaim(state, claim, domain, seats))
  }
  return effects
}

/**
 * Brings the view of the owners up to date. The vote of an owner that has been replaced is dropped: the other owners
 * are now asked with the new view, and would not notice that the record was lost with the old owner.
 */
function updateSeats (state: NodeState, { partition, seats, votes }: PendingClaim): SeatView[] {
  for (const domain of listDomains(state)) {
    const entry = findOwner(state, partition, domain)
    const known = seats.get(domain)
    if (entry === undefined || (known !== undefined && !isNewer(entry, known))) continue
    seats.set(domain, { domain, epoch: entry.epoch, sequence: entry.sequence })
    votes.delete(domain)
  }
  return [...seats.values()]
}

function sendClaim (
  state: NodeState,
  claim: PendingClaim,
  domain: DomainId,
  seats: readonly SeatView[]
): NodeEffect[] {
  const { owner } = findOwner(state, claim.partition, domain)!
  const { team, digest, requestId } = claim
  const ask: ClaimAsk = { team, digest, claimId: requestId, gateway: state.identity.nodeId, domain, seats }
  if (owner === state.identity.nodeId) {
    claim.sent.add(domain)
    const effects: NodeEffect[] = []
    const reply = answerClaim(state, ask, effects)
    return [...effects, ...countVote(state, reply)]
  }
  const address = findAddress(state, owner)
  if (address === undefined) return []
  claim.sent.add(domain)
  return [{ slice: 'idempotency', type: 'claim', node: owner, address, ask }]
}

/**
 * Counts an owner's answer to a claim.
 *
 * @param state - the node's state
 * @param reply - the answer
 * @returns effects: `gateway/claimed` once a majority has recorded the claim
 * @internal
 */
export function countVote (state: NodeState, reply: ClaimReply): NodeEffect[] {
  const claim = state.idempotency.claims.get(reply.claimId)
  if (claim === undefined || claim.granted) return []
  if (reply.result === 'exists') {
    claim.votes.set(reply.domain, 'exists')
    return refuseClaim(claim, 'duplicate', describeRun(reply.run))
  }
  if (!isCurrentVote(claim, reply)) return []
  // Owners that have recorded the claim keep it; a late answer to an earlier ask does not undo that.
  if (claim.votes.get(reply.domain) !== 'recorded') claim.votes.set(reply.domain, reply.result)
  const votes = [...claim.votes.values()]
  const recorded = votes.filter((vote) => vote === 'recorded').length
  if (votes.includes('exists') || recorded < majorityOf(listDomains(state).length)) return []
  claim.granted = true
  return [...clearClaimTimers(claim.requestId), raise({ slice: 'gateway', type: 'claimed', requestId: claim.requestId })]
}

function isCurrentVote ({ seats }: PendingClaim, { domain, seat }: ClaimReply): boolean {
  const known = seats.get(domain)
  return seat !== undefined && known !== undefined && !isNewer(seat, known) && !isNewer(known, seat)
}

/**
 * @param count - number of domains
 * @returns how many owners must record a claim
 * @internal
 */
export function majorityOf (count: number): number {
  return Math.floor(count / 2) + 1
}

/**
 * Gives a claim up. The end of the request releases it.
 *
 * @param claim - the claim
 * @param result - why
 * @param detail - state of the first run
 * @returns effects
 * @internal
 */
export function refuseClaim (
  claim: PendingClaim,
  result: 'duplicate' | 'idempotencyUnverified',
  detail?: string
): NodeEffect[] {
  return [raise({ slice: 'gateway', type: 'claimRefused', requestId: claim.requestId, result, detail })]
}

/**
 * @param requestId - the request of a claim
 * @returns effects
 * @internal
 */
export function clearClaimTimers (requestId: RequestId): NodeEffect[] {
  return [
    { slice: 'timer', type: 'clear', id: toId(`claim/${requestId}`) },
    { slice: 'timer', type: 'clear', id: toId(`claimRetry/${requestId}`) }
  ]
}

function describeRun (run: RunReport = { kind: 'unknown' }): string {
  switch (run.kind) {
    case 'pending': return 'The first run is pending'
    case 'answered': return `The first run finished with status ${run.status}`
    case 'unknown': return 'The outcome of the first run is unknown'
  }
}
