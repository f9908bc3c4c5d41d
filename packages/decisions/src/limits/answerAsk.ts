import { addMillis, type CallId, type Millis, millis } from '@lavenderturn/types'
import { assignmentKey, listDomains, partitionOf, supersedes } from '../control/Assignment'
import { isFresh } from '../control/isFresh'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { answerRecall } from './answerRecall'
import type { GrantAsk, GrantReply, GrantStatement } from './GrantMessages'
import { answerHeld, denyAsk, dropHeld, hasTokens, scheduleBucket, takeServable } from './holdAsks'
import { ASK_HOLD, GRANT_LIFETIME, GRANT_MARGIN, TIGHT_ROOM, TOKENS_LIFETIME } from './limitTimes'
import type { Bucket, HeldAsk, OwnedPartition, OwnerGrant } from './LimitsState'
import { findAddress } from './findAddress'
import { countDomains } from './findSubLimit'
import type { Allocation, AllocationRequest } from './ShareAllocationPolicy'
import { type KeptGrant, openBucket, reclaim } from './settleBucket'

/**
 * Decides on an ask as the owner of the team's partition.
 *
 * @param state - the node's state
 * @param ask - the ask
 * @param callId - the call to answer; absent when the asker is this node
 * @param effects - receives recalls, timers and answers to other asks
 * @returns the answer, or undefined when the ask waits for tokens
 * @internal
 */
export function answerAsk (
  state: NodeState,
  ask: GrantAsk,
  callId: CallId | undefined,
  effects: NodeEffect[]
): GrantReply | undefined {
  const owned = findOpenPartition(state, ask)
  const bucket = owned && openBucket(state, owned, ask.team, effects)
  if (owned === undefined || bucket === undefined) return denyAsk(ask)
  const known = bucket.grants.get(ask.holder)
  if (known !== undefined && ask.number <= known.number) return denyAsk(ask)
  effects.push(...dropHeld(bucket, ask.holder))
  const kept = reclaim(bucket, ask, owned.entry.epoch)
  if (known === undefined) openGrant(state, bucket, ask)
  const request = describeRequest(state, bucket, ask, kept)
  recallGrants(state, owned, request, effects)
  serveHeld(state, owned, bucket, effects)
  // A holder with a share of the rate waits for its own tokens.
  if (!ask.patient || kept.share > 0 || hasTokens(bucket, ask)) return grant(state, owned, request)
  bucket.held.push({ ask, callId, until: addMillis(state.now, ASK_HOLD) })
  scheduleBucket(state, owned, bucket, effects)
  return undefined
}

function openGrant (state: NodeState, bucket: Bucket, { holder, number, demand }: GrantAsk): void {
  const never = millis(-Infinity)
  const expiresAt = addMillis(addMillis(state.now, TOKENS_LIFETIME), GRANT_MARGIN)
  bucket.grants.set(holder, { share: 0, room: 0, expiresAt, number, demand, starvedAt: never, recalledAt: never })
}

function describeRequest (state: NodeState, bucket: Bucket, ask: GrantAsk, kept: KeptGrant): AllocationRequest {
  return { bucket, kept, ask, domainCount: countDomains(state), memberCount: countMembers(state), now: state.now }
}

function grant (state: NodeState, owned: OwnedPartition, request: AllocationRequest): GrantReply {
  const { bucket, ask, kept } = request
  const allocation = cutToOwn(bucket, state.policies.shareAllocation.allocate(request), kept)
  const grant = moveShares(bucket, ask, allocation)
  const lifetime = grant.share > 0 ? GRANT_LIFETIME : TOKENS_LIFETIME
  // The holder may still use what it had until the earlier expiry, if this answer is lost.
  grant.expiresAt = later(grant.expiresAt, addMillis(addMillis(state.now, lifetime), GRANT_MARGIN))
  if (allocation.tokens < ask.waiting) grant.starvedAt = state.now
  return {
    kind: 'granted',
    team: ask.team,
    domain: ask.domain,
    holder: ask.holder,
    number: ask.number,
    epoch: owned.entry.epoch,
    continued: kept.continued,
    share: grant.share,
    room: grant.room,
    tokens: allocation.tokens,
    rate: bucket.rate,
    burst: bucket.burst,
    lifetime,
    tight: bucket.room < TIGHT_ROOM,
    keepShare: allocation.keepShare ?? 1,
    fixed: allocation.fixed ?? false
  }
}

/**
 * Answers asks that wait at the owner, in order of arrival, as far as there are tokens.
 *
 * @param state - the node's state
 * @param owned - an open partition
 * @param bucket - a settled bucket
 * @param effects - receives the answers and the timer
 * @internal
 */
export function serveHeld (state: NodeState, owned: OwnedPartition, bucket: Bucket, effects: NodeEffect[]): void {
  if (bucket.held.length === 0) return
  for (let held = takeServable(bucket, state.now); held !== undefined; held = takeServable(bucket, state.now)) {
    effects.push(answerHeld(held, answerLate(state, owned, bucket, held)))
  }
  scheduleBucket(state, owned, bucket, effects)
}

function answerLate (state: NodeState, owned: OwnedPartition, bucket: Bucket, { ask }: HeldAsk): GrantReply {
  const known = bucket.grants.get(ask.holder)
  // The holder has returned something since, so it does not wait for this answer.
  if (known === undefined || known.number > ask.number) return denyAsk(ask)
  const kept: KeptGrant = {
    share: known.share, room: known.room, level: ask.level, continued: ask.epoch === owned.entry.epoch
  }
  return grant(state, owned, describeRequest(state, bucket, ask, kept))
}

/**
 * Takes back what a holder returns. A return that is late, or about a grant that is not in the books, is dropped:
 * the shares come back with the next ask or by expiry.
 *
 * @param state - the node's state
 * @param statement - the return
 * @returns effects
 * @internal
 */
export function acceptReturn (state: NodeState, statement: GrantStatement): NodeEffect[] {
  const effects: NodeEffect[] = []
  const owned = state.limits.owned.get(assignmentKey(partitionOf(statement.team), statement.domain))
  if (owned === undefined || owned.handOver !== undefined || state.now < owned.openAt) return effects
  if (!owned.buckets.has(statement.team)) return effects
  const bucket = openBucket(state, owned, statement.team, effects)
  const grant = bucket?.grants.get(statement.holder)
  if (bucket === undefined || grant === undefined || statement.number <= grant.number) return effects
  reclaim(bucket, statement, owned.entry.epoch)
  serveHeld(state, owned, bucket, effects)
  return effects
}

function findOpenPartition (state: NodeState, ask: GrantAsk): OwnedPartition | undefined {
  const owned = state.limits.owned.get(assignmentKey(partitionOf(ask.team), ask.domain))
  if (owned === undefined || owned.handOver !== undefined) return undefined
  // A domain that has been taken out of the declaration has no part of the rate any more.
  if (!listDomains(state).includes(ask.domain)) return undefined
  if (state.now < owned.openAt || !isFresh(state)) return undefined
  // The holder knows of a newer owner than this node does.
  const holderEntry = { ...owned.entry, epoch: ask.entryEpoch, sequence: ask.entrySequence }
  return supersedes(holderEntry, owned.entry) ? undefined : owned
}

function countMembers (state: NodeState): number {
  let count = state.membership.members.has(state.identity.nodeId) ? 0 : 1
  for (const { status } of state.membership.members.values()) {
    if (status === 'alive' || status === 'suspect') count += 1
  }
  return count
}

function recallGrants (
  state: NodeState,
  owned: OwnedPartition,
  request: AllocationRequest,
  effects: NodeEffect[]
): void {
  const { team, domain } = request.ask
  const epoch = owned.entry.epoch
  for (const { holder, keepShare } of state.policies.shareAllocation.selectRecalls(request)) {
    const recall = { team, domain, holder, epoch, keepShare }
    request.bucket.grants.get(holder)!.recalledAt = state.now
    if (holder === state.identity.nodeId) {
      const statement = answerRecall(state, recall)
      if (statement !== undefined) reclaim(request.bucket, statement, epoch)
      continue
    }
    const address = findAddress(state, holder)
    if (address !== undefined) effects.push({ slice: 'limits', type: 'recallGrant', node: holder, address, recall })
  }
}

function cutToOwn (bucket: Bucket, wanted: Allocation, kept: KeptGrant): Allocation {
  const share = Math.max(0, Math.min(wanted.share, bucket.share))
  const room = Math.max(0, Math.min(wanted.room, bucket.room))
  const space = Math.max(0, (kept.room + room) * bucket.burst - kept.level)
  return { ...wanted, share, room, tokens: Math.max(0, Math.min(wanted.tokens, bucket.level, space)) }
}

function moveShares (bucket: Bucket, ask: GrantAsk, allocation: Allocation): OwnerGrant {
  bucket.share -= allocation.share
  bucket.room -= allocation.room
  bucket.level = Math.min(bucket.level - allocation.tokens, bucket.room * bucket.burst)
  const grant = bucket.grants.get(ask.holder)!
  grant.share += allocation.share
  grant.room += allocation.room
  grant.demand = ask.demand
  return grant
}

function later (a: Millis, b: Millis): Millis {
  return a > b ? a : b
}
