import { addMillis, type DomainId, type Millis, millis, type NodeId, type RequestId, toId } from '@lavenderturn/types'
import { domainOf, findOwner, listDomains } from '../control/Assignment'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { answerRecall, cutGrant } from './answerRecall'
import { askOwner, findDemand, isOrdered } from './askOwner'
import { findSubLimit } from './findSubLimit'
import { settleGrant, sumLevels, takeToken, TOKEN_TOLERANCE } from './holdGrants'
import { ASK_PATIENCE, SILENT_OWNER_PENALTY } from './limitTimes'
import type { HeldGrant, TeamHolding } from './LimitsState'
import { returnGrant } from './returnGrant'

/** Waits between rounds of asks that did not bring enough: doubled from the first to the second value. */
const FIRST_ROUND_DELAY = millis(10)
const MAX_ROUND_DELAY = millis(100)

/** The demand estimate of a team without requests is forgotten after this time. */
const HOLDING_MEMORY = millis(2_000)

/** A grant whose renewal got no answer is asked for again after this time. */
const RENEW_RETRY = millis(125)

/**
 * Brings a team's grants up to the present: serves waiting requests, renews what is needed, returns what is not, and
 * asks owners for what is missing.
 *
 * @param state - the node's state
 * @param holding - a team's grants
 * @param effects - receives calls and the next timer
 * @returns requests that got a token, in order of arrival
 * @internal
 */
export function runTeam (state: NodeState, holding: TeamHolding, effects: NodeEffect[]): RequestId[] {
  const served = serveWaiting(state, holding, effects)
  renewGrants(state, holding, effects)
  // An owner that is this node answers at once, so each ask can serve more.
  while (askNext(state, holding, effects)) served.push(...serveWaiting(state, holding, effects))
  returnSurplus(state, holding, effects)
  scheduleTeam(state, holding, effects)
  return served
}

function serveWaiting (state: NodeState, holding: TeamHolding, effects: NodeEffect[]): RequestId[] {
  const served: RequestId[] = []
  while (holding.waiting.length > 0) {
    const { requestId } = holding.waiting[0]!
    // The caller has gone, or the deadline has passed: its token is for the next one.
    const isGone = !state.gateway.requests.has(requestId)
    if (!isGone && !takeToken(state, holding)) break
    holding.waiting.shift()
    effects.push({ slice: 'timer', type: 'clear', id: toId(`tokenWait/${requestId}`) })
    if (!isGone) served.push(requestId)
  }
  return served
}

function renewGrants (state: NodeState, holding: TeamHolding, effects: NodeEffect[]): void {
  for (const [domain, grant] of holding.grants) {
    if (grant.renewAt > state.now) continue
    if (findDemand(state, holding, domain) > 0 && askOwner(state, holding, domain, effects)) {
      const renewed = holding.grants.get(domain)!
      if (renewed === grant) grant.renewAt = addMillis(state.now, RENEW_RETRY)
    } else if (grant.expiresAt <= state.now) {
      holding.grants.delete(domain)
    } else if (!holding.asks.has(domain) && holding.waiting.length === 0) {
      giveBack(state, holding, domain, grant, effects)
    } else {
      grant.renewAt = grant.expiresAt
    }
  }
}

function giveBack (
  state: NodeState,
  holding: TeamHolding,
  domain: DomainId,
  grant: HeldGrant,
  effects: NodeEffect[]
): void {
  const sub = findSubLimit(state, holding.team)
  if (sub !== undefined) settleGrant(state, grant, sub)
  holding.grants.delete(domain)
  // Nothing but used-up burst share: its expiry costs nothing, a message does. After a recall even that has gone back,
  // and an empty return that overtakes the one before would void the tokens in it.
  const isEmpty = grant.room <= TOKEN_TOLERANCE || !grant.tight
  if (grant.share === 0 && grant.level <= TOKEN_TOLERANCE && isEmpty) return
  const key = { team: holding.team, domain, holder: state.identity.nodeId }
  const statement = cutGrant(state, key, grant, { share: 0, level: 0 })
  returnGrant(state, holding.partition, statement, effects)
}

function returnSurplus (state: NodeState, holding: TeamHolding, effects: NodeEffect[]): void {
  for (const [domain, grant] of holding.grants) {
    const isUsedUp = grant.share === 0 && grant.level <= TOKEN_TOLERANCE
    if (holding.asks.has(domain)) continue
    if (grant.tight && isUsedUp) giveBack(state, holding, domain, grant, effects)
    else if (grant.share > grant.keepShare) returnRecalled(state, holding, domain, grant, effects)
  }
}

function returnRecalled (
  state: NodeState,
  holding: TeamHolding,
  domain: DomainId,
  { epoch, keepShare }: HeldGrant,
  effects: NodeEffect[]
): void {
  const recall = { team: holding.team, domain, holder: state.identity.nodeId, epoch, keepShare }
  const statement = answerRecall(state, recall)
  if (statement !== undefined) returnGrant(state, holding.partition, statement, effects)
}

/** @returns whether an owner was asked, so that the state can have changed */
function askNext (state: NodeState, holding: TeamHolding, effects: NodeEffect[]): boolean {
  if (holding.waiting.length - sumLevels(state, holding) <= TOKEN_TOLERANCE) {
    holding.asked.clear()
    holding.failedRounds = 0
    holding.nextRoundAt = state.now
    return false
  }
  if (state.now < holding.nextRoundAt || isAwaiting(state, holding)) return false
  for (const domains of listStages(state, holding)) {
    const left = domains.filter((domain) => !holding.asked.has(domain))
    if (left.length === 0) continue
    for (const domain of left) holding.asked.add(domain)
    const asked = left.filter((domain) => askOwner(state, holding, domain, effects))
    if (asked.length > 0) return true
  }
  // An owner that stays silent does not hold up the next round with the others.
  endRound(state, holding)
  return false
}

/** The owner that was asked first gets some time before the next ones are asked. */
function isAwaiting (state: NodeState, holding: TeamHolding): boolean {
  for (const { sentAt, node } of holding.asks.values()) {
    if (state.now < addMillis(sentAt, ASK_PATIENCE) && !isSilent(state, node)) return true
  }
  return false
}

function listStages (state: NodeState, holding: TeamHolding): Array<readonly DomainId[]> {
  const own = domainOf(state, state.identity)
  const domains = listDomains(state)
  if (isOrdered(state, holding)) return domains.map((domain) => [domain])
  const entry = findOwner(state, holding.partition, own)
  if (entry === undefined || !domains.includes(own) || isSilent(state, entry.owner)) return [domains]
  return [[own], domains.filter((domain) => domain !== own)]
}

function isSilent (state: NodeState, node: NodeId): boolean {
  const since = state.limits.silentSince.get(node)
  return since !== undefined && state.now < addMillis(since, SILENT_OWNER_PENALTY)
}

function endRound (state: NodeState, holding: TeamHolding): void {
  const delay = Math.min(MAX_ROUND_DELAY, FIRST_ROUND_DELAY * 2 ** holding.failedRounds)
  holding.failedRounds += 1
  holding.nextRoundAt = addMillis(state.now, millis(delay))
  holding.asked.clear()
}

function scheduleTeam (state: NodeState, holding: TeamHolding, effects: NodeEffect[]): void {
  const due = findDue(state, holding)
  if (due === undefined) {
    state.limits.holdings.delete(holding.team)
    return
  }
  effects.push({
    slice: 'timer',
    type: 'set',
    id: toId(`limits/${holding.team}`),
    delay: millis(Math.max(1, Math.ceil(due - state.now))),
    event: { slice: 'limits', type: 'teamDue', team: holding.team }
  })
}

function findDue (state: NodeState, holding: TeamHolding): Millis | undefined {
  const forgottenAt = addMillis(holding.arrivedAt, HOLDING_MEMORY)
  const isUsed = holding.grants.size > 0 || holding.asks.size > 0 || holding.waiting.length > 0
  if (!isUsed && forgottenAt <= state.now) return undefined
  const times: Millis[] = forgottenAt > state.now ? [forgottenAt] : []
  for (const grant of holding.grants.values()) times.push(grant.renewAt > state.now ? grant.renewAt : grant.expiresAt)
  if (holding.waiting.length > 0) times.push(...listWaitTimes(state, holding))
  return times.reduce((least, time) => time < least ? time : least, addMillis(state.now, HOLDING_MEMORY))
}

function listWaitTimes (state: NodeState, holding: TeamHolding): Millis[] {
  const times: Millis[] = []
  if (holding.nextRoundAt > state.now) times.push(holding.nextRoundAt)
  for (const { sentAt } of holding.asks.values()) {
    const patienceEnds = addMillis(sentAt, ASK_PATIENCE)
    if (patienceEnds > state.now) times.push(patienceEnds)
  }
  let rate = 0
  for (const grant of holding.grants.values()) if (grant.expiresAt > state.now) rate += grant.share * grant.rate
  if (rate > 0) times.push(addMillis(state.now, millis((1 - sumLevels(state, holding)) * 1_000 / rate)))
  return times
}
