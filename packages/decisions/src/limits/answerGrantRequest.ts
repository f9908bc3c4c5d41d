import { addMillis, type CallId, type Millis, millis } from '@lavenderturn/types'
import { assignmentKey, listDomains, partitionOf, supersedes } from '../control/Assignment'
import { isFresh } from '../control/isFresh'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { applyRecall } from './applyRecall'
import { findControlAddress } from './findControlAddress'
import { countDomains } from './findDomainLimit'
import type { GrantRequest, GrantReply, GrantStatement } from './GrantMessages'
import {
  GRANT_EXPIRY_MARGIN, GRANT_LIFETIME, MAX_PENDING_TIME, SHARELESS_GRANT_LIFETIME, TIGHT_BURST_SHARE
} from './limitConstants'
import type { Bucket, IssuedGrant, OwnedPartition, PendingGrantRequest } from './LimitsState'
import {
  answerPending, canServe, createDenial, denySuperseded, dequeueServable, scheduleBucket
} from './pendingGrantRequests'
import { applyStatement, getBucket, type KeptGrant } from './refillBucket'
import type { Allocation, AllocationRequest } from './ShareAllocationPolicy'

/**
 * Answers a grant request as the owner of the team's partition, or queues it until there are tokens.
 *
 * @param state - the node's state
 * @param request - the grant request
 * @param callId - the call to answer; absent when this node sent the request
 * @param effects - receives recalls, timers and answers to other grant requests
 * @returns the answer, or undefined when the request was queued
 * @internal
 */
export function answerGrantRequest (
  state: NodeState,
  request: GrantRequest,
  callId: CallId | undefined,
  effects: NodeEffect[]
): GrantReply | undefined {
  const owned = findOpenPartition(state, request)
  const bucket = owned && getBucket(state, owned, request.team, effects)
  if (owned === undefined || bucket === undefined) return createDenial(request)
  const current = bucket.grants.get(request.holder)
  if (current !== undefined && request.number <= current.number) return createDenial(request)
  effects.push(...denySuperseded(bucket, request.holder))
  const kept = applyStatement(bucket, request, owned.entry.epoch)
  if (current === undefined) createGrant(state, bucket, request)
  const allocationRequest = createAllocationRequest(state, bucket, request, kept)
  recallGrants(state, owned, allocationRequest, effects)
  servePending(state, owned, bucket, effects)
  // A holder with a share of the rate is not queued; its own grant refills while it waits.
  if (
    !request.patient || kept.share > 0 || canServe(bucket, request)
  ) return issueGrant(state, owned, allocationRequest)
  bucket.pending.push({ ask: request, callId, deadline: addMillis(state.now, MAX_PENDING_TIME) })
  scheduleBucket(state, owned, bucket, effects)
  return undefined
}

function createGrant (state: NodeState, bucket: Bucket, { holder, number, demand }: GrantRequest): void {
  const never = millis(-Infinity)
  const expiresAt = addMillis(addMillis(state.now, SHARELESS_GRANT_LIFETIME), GRANT_EXPIRY_MARGIN)
  bucket.grants.set(holder, { share: 0, room: 0, expiresAt, number, demand, lastShortageAt: never, recalledAt: never })
}

function createAllocationRequest (
  state: NodeState,
  bucket: Bucket,
  grantRequest: GrantRequest,
  kept: KeptGrant
): AllocationRequest {
  return {
    bucket,
    kept,
    ask: grantRequest,
    domainCount: countDomains(state),
    memberCount: countMembers(state),
    now: state.now
  }
}

function issueGrant (state: NodeState, owned: OwnedPartition, request: AllocationRequest): GrantReply {
  const { bucket, ask, kept } = request
  const allocation = clampAllocation(bucket, state.policies.shareAllocation.allocate(request), kept)
  const grant = transferAllocation(bucket, ask, allocation)
  const lifetime = grant.share > 0 ? GRANT_LIFETIME : SHARELESS_GRANT_LIFETIME
  // If this answer is lost, the holder may use its earlier grant until that expires, so the expiry never moves back.
  grant.expiresAt = latest(grant.expiresAt, addMillis(addMillis(state.now, lifetime), GRANT_EXPIRY_MARGIN))
  if (allocation.tokens < ask.waiting) grant.lastShortageAt = state.now
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
    tight: bucket.room < TIGHT_BURST_SHARE,
    keepShare: allocation.keepShare ?? 1,
    fixed: allocation.fixed ?? false
  }
}

/**
 * Answers pending grant requests in order of arrival, as long as there are tokens.
 *
 * @param state - the node's state
 * @param owned - an open partition
 * @param bucket - a refilled bucket
 * @param effects - receives the answers and the timer
 * @internal
 */
export function servePending (state: NodeState, owned: OwnedPartition, bucket: Bucket, effects: NodeEffect[]): void {
  if (bucket.pending.length === 0) return
  for (let next = dequeueServable(bucket, state.now); next !== undefined; next = dequeueServable(bucket, state.now)) {
    effects.push(answerPending(next, issuePendingGrant(state, owned, bucket, next)))
  }
  scheduleBucket(state, owned, bucket, effects)
}

function issuePendingGrant (
  state: NodeState,
  owned: OwnedPartition,
  bucket: Bucket,
  { ask }: PendingGrantRequest
): GrantReply {
  const current = bucket.grants.get(ask.holder)
  // The holder has sent a return since, so it ignores the answer to this request.
  if (current === undefined || current.number > ask.number) return createDenial(ask)
  const kept: KeptGrant = {
    share: current.share, room: current.room, level: ask.level, continued: ask.epoch === owned.entry.epoch
  }
  return issueGrant(state, owned, createAllocationRequest(state, bucket, ask, kept))
}

/**
 * Takes back what a holder returns. A late return, or one for an unknown grant, is dropped: the next grant request or
 * the expiry of the grant returns the shares instead.
 *
 * @param state - the node's state
 * @param statement - the return
 * @returns effects
 * @internal
 */
export function applyGrantReturn (state: NodeState, statement: GrantStatement): NodeEffect[] {
  const effects: NodeEffect[] = []
  const owned = state.limits.owned.get(assignmentKey(partitionOf(statement.team), statement.domain))
  if (owned === undefined || owned.handOver !== undefined || state.now < owned.opensAt) return effects
  if (!owned.buckets.has(statement.team)) return effects
  const bucket = getBucket(state, owned, statement.team, effects)
  const grant = bucket?.grants.get(statement.holder)
  if (bucket === undefined || grant === undefined || statement.number <= grant.number) return effects
  applyStatement(bucket, statement, owned.entry.epoch)
  servePending(state, owned, bucket, effects)
  return effects
}

function findOpenPartition (state: NodeState, request: GrantRequest): OwnedPartition | undefined {
  const owned = state.limits.owned.get(assignmentKey(partitionOf(request.team), request.domain))
  if (owned === undefined || owned.handOver !== undefined) return undefined
  // A domain that was removed from the declaration no longer has a part of the rate.
  if (!listDomains(state).includes(request.domain)) return undefined
  if (state.now < owned.opensAt || !isFresh(state)) return undefined
  // The holder knows of a newer owner than this node does.
  const holderEntry = { ...owned.entry, epoch: request.entryEpoch, sequence: request.entrySequence }
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
      const statement = applyRecall(state, recall)
      if (statement !== undefined) applyStatement(request.bucket, statement, epoch)
      continue
    }
    const address = findControlAddress(state, holder)
    if (address !== undefined) effects.push({ slice: 'limits', type: 'recallGrant', node: holder, address, recall })
  }
}

function clampAllocation (bucket: Bucket, wanted: Allocation, kept: KeptGrant): Allocation {
  const share = Math.max(0, Math.min(wanted.share, bucket.share))
  const burstShare = Math.max(0, Math.min(wanted.room, bucket.room))
  const freeTokens = Math.max(0, (kept.room + burstShare) * bucket.burst - kept.level)
  return { ...wanted, share, room: burstShare, tokens: Math.max(0, Math.min(wanted.tokens, bucket.level, freeTokens)) }
}

function transferAllocation (bucket: Bucket, request: GrantRequest, allocation: Allocation): IssuedGrant {
  bucket.share -= allocation.share
  bucket.room -= allocation.room
  bucket.level = Math.min(bucket.level - allocation.tokens, bucket.room * bucket.burst)
  const grant = bucket.grants.get(request.holder)!
  grant.share += allocation.share
  grant.room += allocation.room
  grant.demand = request.demand
  return grant
}

function latest (a: Millis, b: Millis): Millis {
  return a > b ? a : b
}
