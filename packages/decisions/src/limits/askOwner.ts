import { addMillis, type DomainId, millis } from '@lavenderturn/types'
import { findOwner, listDomains } from '../control/Assignment'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { answerAsk } from './answerAsk'
import { cutGrant, type GrantCut } from './answerRecall'
import { findAddress } from './findAddress'
import { countDomains, findSubLimit } from './findSubLimit'
import type { GrantAsk, GrantReply, GrantStatement } from './GrantMessages'
import { estimateDemand, settleGrant, sumLevels, TOKEN_TOLERANCE } from './holdGrants'
import { ASK_TIMEOUT, SCARCE_TOKENS, TOKENS_AHEAD } from './limitTimes'
import type { HeldGrant, TeamHolding } from './LimitsState'

/** Share asked above the estimated demand, so that a small rise needs no further ask. */
const DEMAND_HEADROOM = 1.25

/**
 * Demand from which a gateway takes a share of the rate. Below it, asking for single tokens costs no more messages
 * than two renewals a second.
 */
const SHARE_DEMAND_PER_SECOND = 2

/**
 * Computes the rate that the gateway needs from one domain: the whole demand less what other domains have granted.
 *
 * @param state - the node's state
 * @param holding - a team's grants
 * @param domain - the domain
 * @returns tokens a second; 0 when single tokens are cheaper
 * @internal
 */
export function findDemand (state: NodeState, holding: TeamHolding, domain: DomainId): number {
  const demand = estimateDemand(state, holding)
  if (demand < SHARE_DEMAND_PER_SECOND) return 0
  let granted = 0
  for (const [other, { share, rate, expiresAt }] of holding.grants) {
    if (other !== domain && expiresAt > state.now) granted += share * rate
  }
  return Math.max(0, demand * DEMAND_HEADROOM - granted)
}

/**
 * Asks the owner of the team's partition in one domain. The ask returns what is not needed of the present grant. An
 * owner that is this node answers at once.
 *
 * @param state - the node's state
 * @param holding - a team's grants
 * @param domain - the domain
 * @param effects - receives the call
 * @returns whether there was an owner to ask
 * @internal
 */
export function askOwner (state: NodeState, holding: TeamHolding, domain: DomainId, effects: NodeEffect[]): boolean {
  const entry = findOwner(state, holding.partition, domain)
  if (entry === undefined || isAsking(state, holding, domain)) return false
  const isSelf = entry.owner === state.identity.nodeId
  const address = isSelf ? undefined : findAddress(state, entry.owner)
  if (!isSelf && address === undefined) return false
  const ask: GrantAsk = {
    ...describeNeed(state, holding, domain),
    entryEpoch: entry.epoch,
    entrySequence: entry.sequence,
    // The first round takes what there is at any owner before it waits at one.
    patient: holding.failedRounds > 0 || isOrdered(state, holding)
  }
  holding.asks.set(domain, { number: ask.number, node: entry.owner, sentAt: state.now, waiting: ask.waiting })
  if (isSelf) {
    const reply = answerAsk(state, ask, undefined, effects)
    if (reply !== undefined) acceptReply(state, holding, reply)
    return true
  }
  effects.push({ slice: 'limits', type: 'askGrant', node: entry.owner, address: address!, ask })
  return true
}

/**
 * With less than one token in a domain a request needs several. All gateways ask in the same order then, and wait at
 * each owner: otherwise each could get a part and wait for the other's.
 *
 * @param state - the node's state
 * @param holding - a team's grants
 * @returns whether domains are asked one after another
 * @internal
 */
export function isOrdered (state: NodeState, holding: TeamHolding): boolean {
  return (findSubLimit(state, holding.team)?.burst ?? 1) < 1
}

function isAsking (state: NodeState, holding: TeamHolding, domain: DomainId): boolean {
  const ask = holding.asks.get(domain)
  return ask !== undefined && state.now < addMillis(ask.sentAt, ASK_TIMEOUT)
}

function describeNeed (
  state: NodeState,
  holding: TeamHolding,
  domain: DomainId
): GrantStatement & Pick<GrantAsk, 'waiting' | 'tokens' | 'demand'> {
  const demand = findDemand(state, holding, domain)
  const target = holding.waiting.length + demand * TOKENS_AHEAD / 1_000
  const level = sumLevels(state, holding)
  const grant = holding.grants.get(domain)
  const key = { team: holding.team, domain, holder: state.identity.nodeId }
  const statement = grant === undefined
    ? { ...key, number: ++state.limits.lastNumber, epoch: 0, share: 0, room: 0, level: 0, returned: 0 }
    : cutGrant(state, key, grant, findNeeded(grant, demand, target))
  return {
    ...statement,
    waiting: Math.max(0, holding.waiting.length - level),
    tokens: Math.max(0, target - level),
    demand
  }
}

function findNeeded (grant: HeldGrant, demand: number, target: number): GrantCut {
  if (grant.fixed) return { share: grant.share, room: grant.room, level: grant.level }
  const share = grant.rate > 0 ? Math.min(grant.share, demand / grant.rate) : 0
  return { share, level: Math.min(grant.level, target) }
}

/**
 * Takes an owner's answer into the books. Only the answer to the latest ask or return counts: an older one is not in
 * line with what the owner was told since.
 *
 * @param state - the node's state
 * @param holding - a team's grants
 * @param reply - the answer
 * @internal
 */
export function acceptReply (state: NodeState, holding: TeamHolding, reply: GrantReply): void {
  const ask = holding.asks.get(reply.domain)
  if (ask === undefined || ask.number !== reply.number) return
  holding.asks.delete(reply.domain)
  state.limits.silentSince.delete(ask.node)
  const sub = findSubLimit(state, holding.team)
  if (reply.kind === 'denied' || sub === undefined) return
  holding.answeredAt = state.now
  // The owner had enough, so it is asked first for requests that have arrived since.
  if (reply.tokens >= ask.waiting) holding.asked.delete(reply.domain)
  // The parts of the other domains would be of no use to this gateway, but to one that has this one's.
  const isShort = reply.tokens < Math.min(ask.waiting, reply.burst) - TOKEN_TOLERANCE
  const isScarce = reply.burst * countDomains(state) <= SCARCE_TOKENS
  if (isShort && isScarce) for (const domain of listDomains(state)) holding.asked.add(domain)
  const expiresAt = addMillis(ask.sentAt, reply.lifetime)
  if (expiresAt <= state.now) return
  const known = reply.continued ? holding.grants.get(reply.domain) : undefined
  // Settled before the expiry moves, so that the grant does not fill for the time that it had expired.
  if (known !== undefined) settleGrant(state, known, sub)
  holding.grants.set(reply.domain, {
    epoch: reply.epoch,
    share: reply.share,
    room: reply.room,
    rate: reply.rate,
    burst: reply.burst,
    level: Math.min((known?.level ?? 0) + reply.tokens, reply.room * reply.burst),
    filledAt: state.now,
    expiresAt: known !== undefined && known.expiresAt > expiresAt ? known.expiresAt : expiresAt,
    renewAt: addMillis(ask.sentAt, millis(reply.lifetime / 2)),
    tight: reply.tight,
    keepShare: reply.keepShare,
    fixed: reply.fixed
  })
}
