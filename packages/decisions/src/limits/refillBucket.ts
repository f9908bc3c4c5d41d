import { type Millis, millis, type NodeId, type TeamId, toId } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { type DomainLimit, findDomainLimit } from './findDomainLimit'
import type { GrantStatement } from './GrantMessages'
import type { Bucket, IssuedGrant, OwnedPartition } from './LimitsState'

/** How often full buckets without grants are removed. */
export const SWEEP_INTERVAL = millis(5_000)

/**
 * Finds or creates a team's bucket and refills it. A team without a bucket has used nothing since its bucket was full,
 * or since the partition was opened with empty buckets.
 *
 * @param state - the node's state
 * @param owned - an open partition
 * @param team - a team of the partition
 * @param effects - receives the sweep timer
 * @returns the bucket, or undefined when the team is not declared
 * @internal
 */
export function getBucket (
  state: NodeState,
  owned: OwnedPartition,
  team: TeamId,
  effects: NodeEffect[]
): Bucket | undefined {
  const limit = findDomainLimit(state, team)
  if (limit === undefined) return undefined
  const current = owned.buckets.get(team)
  const bucket = current ?? createBucket(state, owned, team, limit)
  if (current === undefined) {
    owned.buckets.set(team, bucket)
    startSweep(state, effects)
  }
  refillBucket(bucket, limit, state.now)
  state.limits.touched.buckets.add(bucket)
  return bucket
}

function createBucket (state: NodeState, owned: OwnedPartition, team: TeamId, { rate, burst }: DomainLimit): Bucket {
  const level = Math.min(burst, rate * (state.now - owned.opensAt) / 1_000)
  return { team, rate, burst, share: 1, room: 1, level, refilledAt: state.now, grants: new Map(), pending: [] }
}

/**
 * Adds the tokens that a bucket has gained since the last refill, reclaims expired grants and applies the current
 * limit. When the rate has changed, the time since the last refill counts at the lower of the two rates, so that a
 * change never creates extra tokens.
 *
 * @param bucket - the bucket
 * @param limit - the current domain limit
 * @param now - current time
 * @internal
 */
export function refillBucket (bucket: Bucket, limit: DomainLimit, now: Millis): void {
  const lowerLimit: DomainLimit = {
    rate: Math.min(bucket.rate, limit.rate),
    burst: Math.min(bucket.burst, limit.burst)
  }
  // A reclaimed share refills the bucket from the expiry of its grant on, even if the bucket was not read since.
  for (const [holder, grant] of listExpired(bucket, now)) {
    addTokens(bucket, lowerLimit, grant.expiresAt)
    bucket.grants.delete(holder)
    restoreShares(bucket, grant.share, grant.room)
  }
  addTokens(bucket, lowerLimit, now)
  bucket.rate = limit.rate
  bucket.burst = limit.burst
}

function listExpired ({ grants }: Bucket, now: Millis): Array<[NodeId, IssuedGrant]> {
  const expired = [...grants].filter(([, { expiresAt }]) => expiresAt <= now)
  return expired.sort(([, a], [, b]) => a.expiresAt - b.expiresAt)
}

function addTokens (bucket: Bucket, { rate, burst }: DomainLimit, until: Millis): void {
  const elapsed = Math.max(0, until - bucket.refilledAt)
  bucket.level = Math.min(bucket.room * burst, bucket.level + bucket.share * rate * elapsed / 1_000)
  if (until > bucket.refilledAt) bucket.refilledAt = until
}

/** The part of a grant that its holder keeps after a statement. @internal */
export interface KeptGrant {
  readonly share: number
  readonly room: number
  readonly level: number
  /** Whether the statement is about a grant of this owner's epoch. */
  readonly continued: boolean
}

/**
 * Reclaims what a holder no longer keeps. A statement about an unknown grant keeps nothing.
 *
 * @param bucket - a refilled bucket
 * @param statement - what the holder keeps and returns; newer than the last one
 * @param epoch - epoch of this owner
 * @returns what the holder keeps
 * @internal
 */
export function applyStatement (bucket: Bucket, statement: GrantStatement, epoch: number): KeptGrant {
  const grant = bucket.grants.get(statement.holder)
  if (grant === undefined) return { share: 0, room: 0, level: 0, continued: false }
  const continued = statement.epoch === epoch
  const share = continued ? Math.min(grant.share, statement.share) : 0
  const burstShare = continued ? Math.min(grant.room, statement.room) : 0
  restoreShares(bucket, grant.share - share, grant.room - burstShare)
  if (continued) bucket.level = Math.min(bucket.room * bucket.burst, bucket.level + statement.returned)
  grant.share = share
  grant.room = burstShare
  grant.number = statement.number
  return { share, room: burstShare, level: continued ? statement.level : 0, continued }
}

function restoreShares (bucket: Bucket, share: number, burstShare: number): void {
  bucket.share += share
  bucket.room += burstShare
  // Sums of fractions accumulate rounding errors; without grants both are exactly 1.
  if (bucket.grants.size > 0) return
  bucket.share = 1
  bucket.room = 1
}

/**
 * Sets the sweep timer unless it is set already.
 *
 * @param state - the node's state
 * @param effects - receives the timer
 * @internal
 */
export function startSweep (state: NodeState, effects: NodeEffect[]): void {
  if (state.limits.sweepScheduled) return
  state.limits.sweepScheduled = true
  effects.push({
    slice: 'timer',
    type: 'set',
    id: toId('limits/sweep'),
    delay: SWEEP_INTERVAL,
    event: { slice: 'limits', type: 'sweepDue' }
  })
}

/**
 * Removes full buckets without grants, so that idle teams use no memory.
 *
 * @param state - the node's state
 * @returns effects: the timer of the next sweep, if buckets remain
 * @internal
 */
export function sweepBuckets (state: NodeState): NodeEffect[] {
  let left = 0
  for (const owned of state.limits.owned.values()) {
    for (const bucket of owned.buckets.values()) {
      if (owned.handOver === undefined && isIdle(state, bucket)) owned.buckets.delete(bucket.team)
    }
    left += owned.buckets.size
  }
  state.limits.sweepScheduled = false
  const effects: NodeEffect[] = []
  if (left > 0) startSweep(state, effects)
  return effects
}

function isIdle (state: NodeState, bucket: Bucket): boolean {
  const limit = findDomainLimit(state, bucket.team)
  if (limit === undefined) return true
  refillBucket(bucket, limit, state.now)
  return bucket.grants.size === 0 && bucket.pending.length === 0 && bucket.level >= bucket.burst
}
