import { addMillis, type DomainId, type Millis, millis, type NodeId, type RequestId, toId } from '@lavenderturn/types'
import { domainOf, findOwner, listDomains } from '../control/Assignment'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { applyRecall, shrinkGrant } from './applyRecall'
import { findDomainLimit } from './findDomainLimit'
import { refillGrant, sumLevels, takeToken, TOKEN_TOLERANCE } from './heldGrants'
import { OWNER_FALLBACK_DELAY, UNRESPONSIVE_OWNER_PENALTY } from './limitConstants'
import type { HeldGrant, TeamLimiter } from './LimitsState'
import { computeDemand, requestGrant, requestsSequentially } from './requestGrant'
import { sendGrantReturn } from './sendGrantReturn'

/** Delay after a round of grant requests that did not yield enough tokens; doubles with each failed round. */
const FIRST_ROUND_DELAY = millis(10)
const MAX_ROUND_DELAY = millis(100)

/** How long the limiter of a team without requests is kept for its demand estimate. */
const IDLE_LIMITER_RETENTION = millis(2_000)

/** A renewal without an answer is retried after this time. */
const RENEWAL_RETRY_DELAY = millis(125)

/**
 * Updates a team's limiter: charges waiting requests, renews grants that are needed, returns those that are not, and
 * requests missing tokens from owners.
 *
 * @param state - the node's state
 * @param limiter - the team's limiter
 * @param effects - receives calls and the next timer
 * @returns the requests that were charged, in order of arrival
 * @internal
 */
export function updateLimiter (state: NodeState, limiter: TeamLimiter, effects: NodeEffect[]): RequestId[] {
  const served = chargeWaiting(state, limiter, effects)
  renewGrants(state, limiter, effects)
  // When this node is the owner, it answers at once, so more requests can be charged after each round.
  while (requestNext(state, limiter, effects)) served.push(...chargeWaiting(state, limiter, effects))
  returnSurplus(state, limiter, effects)
  scheduleUpdate(state, limiter, effects)
  return served
}

function chargeWaiting (state: NodeState, limiter: TeamLimiter, effects: NodeEffect[]): RequestId[] {
  const served: RequestId[] = []
  while (limiter.waiting.length > 0) {
    const { requestId } = limiter.waiting[0]!
    // The caller disconnected or the deadline passed, so the token goes to the next request.
    const hasEnded = !state.gateway.requests.has(requestId)
    if (!hasEnded && !takeToken(state, limiter)) break
    limiter.waiting.shift()
    effects.push({ slice: 'timer', type: 'clear', id: toId(`tokenWait/${requestId}`) })
    if (!hasEnded) served.push(requestId)
  }
  return served
}

function renewGrants (state: NodeState, limiter: TeamLimiter, effects: NodeEffect[]): void {
  for (const [domain, grant] of limiter.grants) {
    if (grant.renewAt > state.now) continue
    if (computeDemand(state, limiter, domain) > 0 && requestGrant(state, limiter, domain, effects)) {
      const renewed = limiter.grants.get(domain)!
      if (renewed === grant) grant.renewAt = addMillis(state.now, RENEWAL_RETRY_DELAY)
    } else if (grant.expiresAt <= state.now) {
      limiter.grants.delete(domain)
    } else if (!limiter.outstanding.has(domain) && limiter.waiting.length === 0) {
      releaseGrant(state, limiter, domain, grant, effects)
    } else {
      grant.renewAt = grant.expiresAt
    }
  }
}

function releaseGrant (
  state: NodeState,
  limiter: TeamLimiter,
  domain: DomainId,
  grant: HeldGrant,
  effects: NodeEffect[]
): void {
  const limit = findDomainLimit(state, limiter.team)
  if (limit !== undefined) refillGrant(state, grant, limit)
  limiter.grants.delete(domain)
  // Used-up burst share expires without a message. After a recall even that has been returned, and an empty return that
  // overtakes the previous one would void the tokens in it.
  const isEmpty = grant.room <= TOKEN_TOLERANCE || !grant.tight
  if (grant.share === 0 && grant.level <= TOKEN_TOLERANCE && isEmpty) return
  const key = { team: limiter.team, domain, holder: state.identity.nodeId }
  const statement = shrinkGrant(state, key, grant, { share: 0, level: 0 })
  sendGrantReturn(state, limiter.partition, statement, effects)
}

function returnSurplus (state: NodeState, limiter: TeamLimiter, effects: NodeEffect[]): void {
  for (const [domain, grant] of limiter.grants) {
    const isUsedUp = grant.share === 0 && grant.level <= TOKEN_TOLERANCE
    if (limiter.outstanding.has(domain)) continue
    if (grant.tight && isUsedUp) releaseGrant(state, limiter, domain, grant, effects)
    else if (grant.share > grant.keepShare) returnExcessShare(state, limiter, domain, grant, effects)
  }
}

function returnExcessShare (
  state: NodeState,
  limiter: TeamLimiter,
  domain: DomainId,
  { epoch, keepShare }: HeldGrant,
  effects: NodeEffect[]
): void {
  const recall = { team: limiter.team, domain, holder: state.identity.nodeId, epoch, keepShare }
  const statement = applyRecall(state, recall)
  if (statement !== undefined) sendGrantReturn(state, limiter.partition, statement, effects)
}

/**
 * Sends the grant requests of the next stage, or ends the round.
 *
 * @returns whether an owner was asked, so that the state may have changed
 */
function requestNext (state: NodeState, limiter: TeamLimiter, effects: NodeEffect[]): boolean {
  if (limiter.waiting.length - sumLevels(state, limiter) <= TOKEN_TOLERANCE) {
    limiter.asked.clear()
    limiter.failedRounds = 0
    limiter.nextRoundAt = state.now
    return false
  }
  if (state.now < limiter.nextRoundAt || awaitsReply(state, limiter)) return false
  for (const domains of listRequestStages(state, limiter)) {
    const remaining = domains.filter((domain) => !limiter.asked.has(domain))
    if (remaining.length === 0) continue
    for (const domain of remaining) limiter.asked.add(domain)
    const asked = remaining.filter((domain) => requestGrant(state, limiter, domain, effects))
    if (asked.length > 0) return true
  }
  // An unresponsive owner does not delay the next round with the other owners.
  endRound(state, limiter)
  return false
}

/** Whether the owners that were asked first still have time to answer before the next ones are asked. */
function awaitsReply (state: NodeState, limiter: TeamLimiter): boolean {
  for (const { sentAt, node } of limiter.outstanding.values()) {
    if (state.now < addMillis(sentAt, OWNER_FALLBACK_DELAY) && !isUnresponsive(state, node)) return true
  }
  return false
}

/** Lists the domains in the order of requests; the domains of one stage are asked at the same time. */
function listRequestStages (state: NodeState, limiter: TeamLimiter): Array<readonly DomainId[]> {
  const own = domainOf(state, state.identity)
  const domains = listDomains(state)
  if (requestsSequentially(state, limiter)) return domains.map((domain) => [domain])
  const entry = findOwner(state, limiter.partition, own)
  if (entry === undefined || !domains.includes(own) || isUnresponsive(state, entry.owner)) return [domains]
  return [[own], domains.filter((domain) => domain !== own)]
}

function isUnresponsive (state: NodeState, node: NodeId): boolean {
  const since = state.limits.unresponsiveSince.get(node)
  return since !== undefined && state.now < addMillis(since, UNRESPONSIVE_OWNER_PENALTY)
}

function endRound (state: NodeState, limiter: TeamLimiter): void {
  const delay = Math.min(MAX_ROUND_DELAY, FIRST_ROUND_DELAY * 2 ** limiter.failedRounds)
  limiter.failedRounds += 1
  limiter.nextRoundAt = addMillis(state.now, millis(delay))
  limiter.asked.clear()
}

function scheduleUpdate (state: NodeState, limiter: TeamLimiter, effects: NodeEffect[]): void {
  const due = findNextUpdate(state, limiter)
  if (due === undefined) {
    state.limits.limiters.delete(limiter.team)
    return
  }
  effects.push({
    slice: 'timer',
    type: 'set',
    id: toId(`limits/${limiter.team}`),
    delay: millis(Math.max(1, Math.ceil(due - state.now))),
    event: { slice: 'limits', type: 'teamDue', team: limiter.team }
  })
}

function findNextUpdate (state: NodeState, limiter: TeamLimiter): Millis | undefined {
  const idleUntil = addMillis(limiter.lastArrivalAt, IDLE_LIMITER_RETENTION)
  const isActive = limiter.grants.size > 0 || limiter.outstanding.size > 0 || limiter.waiting.length > 0
  if (!isActive && idleUntil <= state.now) return undefined
  const times: Millis[] = idleUntil > state.now ? [idleUntil] : []
  for (const grant of limiter.grants.values()) times.push(grant.renewAt > state.now ? grant.renewAt : grant.expiresAt)
  if (limiter.waiting.length > 0) times.push(...listRetryTimes(state, limiter))
  return times.reduce((least, time) => time < least ? time : least, addMillis(state.now, IDLE_LIMITER_RETENTION))
}

function listRetryTimes (state: NodeState, limiter: TeamLimiter): Millis[] {
  const times: Millis[] = []
  if (limiter.nextRoundAt > state.now) times.push(limiter.nextRoundAt)
  for (const { sentAt } of limiter.outstanding.values()) {
    const fallbackAt = addMillis(sentAt, OWNER_FALLBACK_DELAY)
    if (fallbackAt > state.now) times.push(fallbackAt)
  }
  let rate = 0
  for (const grant of limiter.grants.values()) if (grant.expiresAt > state.now) rate += grant.share * grant.rate
  if (rate > 0) times.push(addMillis(state.now, millis((1 - sumLevels(state, limiter)) * 1_000 / rate)))
  return times
}
