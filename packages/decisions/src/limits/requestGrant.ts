import { addMillis, type DomainId, millis } from '@lavenderturn/types'
import { findOwner, listDomains } from '../control/Assignment'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { answerGrantRequest } from './answerGrantRequest'
import { type RetainedGrant, shrinkGrant } from './applyRecall'
import { findControlAddress } from './findControlAddress'
import { countDomains, findDomainLimit } from './findDomainLimit'
import type { GrantRequest, GrantReply, GrantStatement } from './GrantMessages'
import { estimateDemand, refillGrant, sumLevels, TOKEN_TOLERANCE } from './heldGrants'
import { GRANT_REQUEST_TIMEOUT, SCARCE_BURST_TOKENS, TOKEN_PREFETCH_WINDOW } from './limitConstants'
import type { HeldGrant, TeamLimiter } from './LimitsState'

/** Factor of the estimated demand that is requested, so that a small rise needs no further grant request. */
const DEMAND_HEADROOM = 1.25

/**
 * Demand from which a gateway requests a share of the rate. Below it, requesting single tokens costs no more messages
 * than two renewals per second.
 */
const SHARE_DEMAND_PER_SECOND = 2

/**
 * Computes the rate that the gateway needs from one domain: its demand less the rate granted by other domains.
 *
 * @param state - the node's state
 * @param limiter - the team's limiter
 * @param domain - the domain
 * @returns tokens per second; 0 when requesting single tokens is cheaper
 * @internal
 */
export function computeDemand (state: NodeState, limiter: TeamLimiter, domain: DomainId): number {
  const demand = estimateDemand(state, limiter)
  if (demand < SHARE_DEMAND_PER_SECOND) return 0
  let granted = 0
  for (const [other, { share, rate, expiresAt }] of limiter.grants) {
    if (other !== domain && expiresAt > state.now) granted += share * rate
  }
  return Math.max(0, demand * DEMAND_HEADROOM - granted)
}

/**
 * Requests a grant from the owner of the team's partition in one domain. The request also returns what is not needed of
 * the current grant. When this node is the owner, the request is answered at once.
 *
 * @param state - the node's state
 * @param limiter - the team's limiter
 * @param domain - the domain
 * @param effects - receives the call
 * @returns whether a request was made: not while one is outstanding, or when no owner can be called
 * @internal
 */
export function requestGrant (
  state: NodeState,
  limiter: TeamLimiter,
  domain: DomainId,
  effects: NodeEffect[]
): boolean {
  const entry = findOwner(state, limiter.partition, domain)
  if (entry === undefined || hasOutstandingRequest(state, limiter, domain)) return false
  const isOwner = entry.owner === state.identity.nodeId
  const address = isOwner ? undefined : findControlAddress(state, entry.owner)
  if (!isOwner && address === undefined) return false
  const request: GrantRequest = {
    ...computeNeed(state, limiter, domain),
    entryEpoch: entry.epoch,
    entrySequence: entry.sequence,
    // The first round collects what is available at all owners; later rounds queue at one that lacks tokens.
    patient: limiter.failedRounds > 0 || requestsSequentially(state, limiter)
  }
  limiter.outstanding.set(domain, {
    number: request.number, node: entry.owner, sentAt: state.now, waiting: request.waiting
  })
  if (isOwner) {
    const reply = answerGrantRequest(state, request, undefined, effects)
    if (reply !== undefined) applyReply(state, limiter, reply)
    return true
  }
  effects.push({ slice: 'limits', type: 'askGrant', node: entry.owner, address: address!, ask: request })
  return true
}

/**
 * With a burst of less than one token per domain, a request needs partial tokens of several domains. All gateways then
 * query the owners in the same order and wait at each, because otherwise two gateways could each get a part and wait
 * for the other's.
 *
 * @param state - the node's state
 * @param limiter - the team's limiter
 * @returns whether grants are requested from one domain after another
 * @internal
 */
export function requestsSequentially (state: NodeState, limiter: TeamLimiter): boolean {
  return (findDomainLimit(state, limiter.team)?.burst ?? 1) < 1
}

function hasOutstandingRequest (state: NodeState, limiter: TeamLimiter, domain: DomainId): boolean {
  const request = limiter.outstanding.get(domain)
  return request !== undefined && state.now < addMillis(request.sentAt, GRANT_REQUEST_TIMEOUT)
}

function computeNeed (
  state: NodeState,
  limiter: TeamLimiter,
  domain: DomainId
): GrantStatement & Pick<GrantRequest, 'waiting' | 'tokens' | 'demand'> {
  const demand = computeDemand(state, limiter, domain)
  const target = limiter.waiting.length + demand * TOKEN_PREFETCH_WINDOW / 1_000
  const level = sumLevels(state, limiter)
  const grant = limiter.grants.get(domain)
  const key = { team: limiter.team, domain, holder: state.identity.nodeId }
  const statement = grant === undefined
    ? { ...key, number: ++state.limits.lastMessageNumber, epoch: 0, share: 0, room: 0, level: 0, returned: 0 }
    : shrinkGrant(state, key, grant, computeRetained(grant, demand, target))
  return {
    ...statement,
    waiting: Math.max(0, limiter.waiting.length - level),
    tokens: Math.max(0, target - level),
    demand
  }
}

function computeRetained (grant: HeldGrant, demand: number, target: number): RetainedGrant {
  if (grant.fixed) return { share: grant.share, room: grant.room, level: grant.level }
  const share = grant.rate > 0 ? Math.min(grant.share, demand / grant.rate) : 0
  return { share, level: Math.min(grant.level, target) }
}

/**
 * Applies an owner's answer to the held grants. Only the answer to the latest grant request or return counts, because
 * an older one does not reflect what was sent to the owner since.
 *
 * @param state - the node's state
 * @param limiter - the team's limiter
 * @param reply - the answer
 * @internal
 */
export function applyReply (state: NodeState, limiter: TeamLimiter, reply: GrantReply): void {
  const request = limiter.outstanding.get(reply.domain)
  if (request === undefined || request.number !== reply.number) return
  limiter.outstanding.delete(reply.domain)
  state.limits.unresponsiveSince.delete(request.node)
  const limit = findDomainLimit(state, limiter.team)
  if (reply.kind === 'denied' || limit === undefined) return
  limiter.lastGrantAt = state.now
  // The owner had enough tokens, so it is asked first for requests that arrive from now on.
  if (reply.tokens >= request.waiting) limiter.asked.delete(reply.domain)
  // Partial tokens of the other domains cannot serve this gateway, but may serve the one that has this domain's part.
  const isShort = reply.tokens < Math.min(request.waiting, reply.burst) - TOKEN_TOLERANCE
  const isScarce = reply.burst * countDomains(state) <= SCARCE_BURST_TOKENS
  if (isShort && isScarce) for (const domain of listDomains(state)) limiter.asked.add(domain)
  const expiresAt = addMillis(request.sentAt, reply.lifetime)
  if (expiresAt <= state.now) return
  const current = reply.continued ? limiter.grants.get(reply.domain) : undefined
  // Refilled before the expiry moves, so that the grant gets no tokens for a time in which it was expired.
  if (current !== undefined) refillGrant(state, current, limit)
  limiter.grants.set(reply.domain, {
    epoch: reply.epoch,
    share: reply.share,
    room: reply.room,
    rate: reply.rate,
    burst: reply.burst,
    level: Math.min((current?.level ?? 0) + reply.tokens, reply.room * reply.burst),
    refilledAt: state.now,
    expiresAt: current !== undefined && current.expiresAt > expiresAt ? current.expiresAt : expiresAt,
    renewAt: addMillis(request.sentAt, millis(reply.lifetime / 2)),
    tight: reply.tight,
    keepShare: reply.keepShare,
    fixed: reply.fixed
  })
}
