import { type DomainId, type KeyDigest, type RequestId, type TeamId, toId } from '@lavenderturn/types'
import { findOwner, listDomains, partitionOf } from '../control/Assignment'
import type { GatewayRequest } from '../gateway/GatewayState'
import { hash128 } from '../hash'
import { findControlAddress } from '../limits/findControlAddress'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { raise } from '../raise'
import { answerClaim, isNewer } from './answerClaim'
import type { KeyClaimRequest, ClaimReply, RunReport, SeatView } from './ClaimMessages'
import { CLAIM_RETRY_INTERVAL, CLAIM_TIMEOUT } from './claimTimes'
import type { PendingClaim } from './IdempotencyState'

/**
 * Claims a request's idempotency key with the owners. `gateway/claimed` or `gateway/claimRefused` follows.
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
 * Sends a claim to the owners that have not recorded it yet. The claim keeps its id in every attempt, so that an owner
 * that has already recorded it recognises it.
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
    delay: CLAIM_RETRY_INTERVAL,
    event: { slice: 'idempotency', type: 'claimRetryDue', requestId: claim.requestId }
  }]
  const seats = refreshSeats(state, claim)
  for (const { domain } of seats) {
    if (claim.votes.get(domain) !== 'recorded') effects.push(...sendClaim(state, claim, domain, seats))
  }
  return effects
}

/**
 * Updates the seats of a claim to the current owners. The vote of a replaced owner is discarded, because its record may
 * be lost and the other owners cannot detect this once the claim lists the new seat.
 */
function refreshSeats (state: NodeState, { partition, seats, votes }: PendingClaim): SeatView[] {
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
  const request: KeyClaimRequest = { team, digest, claimId: requestId, gateway: state.identity.nodeId, domain, seats }
  if (owner === state.identity.nodeId) {
    claim.sent.add(domain)
    const effects: NodeEffect[] = []
    const reply = answerClaim(state, request, effects)
    return [...effects, ...countVote(state, reply)]
  }
  const address = findControlAddress(state, owner)
  if (address === undefined) return []
  claim.sent.add(domain)
  return [{ slice: 'idempotency', type: 'claim', node: owner, address, ask: request }]
}

/**
 * Counts an owner's vote on a claim.
 *
 * @param state - the node's state
 * @param reply - the owner's answer
 * @returns effects: `gateway/claimed` once a majority has recorded the claim
 * @internal
 */
export function countVote (state: NodeState, reply: ClaimReply): NodeEffect[] {
  const claim = state.idempotency.claims.get(reply.claimId)
  if (claim === undefined || claim.granted) return []
  if (reply.result === 'exists') {
    claim.votes.set(reply.domain, 'exists')
    return refuseClaim(claim, 'duplicate', describeFirstRun(reply.run))
  }
  if (!isCurrentVote(claim, reply)) return []
  // An owner keeps a claim that it has recorded, so a delayed answer to an earlier attempt does not revoke the vote.
  if (claim.votes.get(reply.domain) !== 'recorded') claim.votes.set(reply.domain, reply.result)
  const votes = [...claim.votes.values()]
  const recorded = votes.filter((vote) => vote === 'recorded').length
  if (votes.includes('exists') || recorded < majoritySize(listDomains(state).length)) return []
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
export function majoritySize (count: number): number {
  return Math.floor(count / 2) + 1
}

/**
 * Abandons a claim and refuses its request. The claim is released when the request ends.
 *
 * @param claim - the claim
 * @param result - why the request is refused
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

function describeFirstRun (run: RunReport = { kind: 'unknown' }): string {
  switch (run.kind) {
    case 'pending': return 'The first run is pending'
    case 'answered': return `The first run finished with status ${run.status}`
    case 'unknown': return 'The outcome of the first run is unknown'
  }
}
