import { type Millis, millis, type NodeId, type TeamId, toId } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { findSubLimit, type SubLimit } from './findSubLimit'
import type { GrantStatement } from './GrantMessages'
import type { Bucket, OwnedPartition, OwnerGrant } from './LimitsState'

/** How often full buckets without grants are dropped. */
export const SWEEP_INTERVAL = millis(5_000)

/**
 * Finds a team's bucket, brought up to the present. A team without a bucket has used nothing since its bucket was
 * full, or since the partition was opened with empty buckets.
 *
 * @param state - the node's state
 * @param owned - an open partition
 * @param team - a team of the partition
 * @param effects - receives the timer of the sweep
 * @returns the bucket, or undefined when the team is not declared
 * @internal
 */
export function openBucket (
  state: NodeState,
  owned: OwnedPartition,
  team: TeamId,
  effects: NodeEffect[]
): Bucket | undefined {
  const sub = findSubLimit(state, team)
  if (sub === undefined) return undefined
  const known = owned.buckets.get(team)
  const bucket = known ?? createBucket(state, owned, team, sub)
  if (known === undefined) {
    owned.buckets.set(team, bucket)
    startSweep(state, effects)
  }
  settleBucket(bucket, sub, state.now)
  state.limits.touched.buckets.add(bucket)
  return bucket
}

function createBucket (state: NodeState, owned: OwnedPartition, team: TeamId, { rate, burst }: SubLimit): Bucket {
  const level = Math.min(burst, rate * (state.now - owned.openAt) / 1_000)
  return { team, rate, burst, share: 1, room: 1, level, filledAt: state.now, grants: new Map(), held: [] }
}

/**
 * Fills a bucket up to the present, takes expired grants back and adopts the rate in force. When the rate has
 * changed, the time since the last fill counts at the lower of the two rates: a change never mints tokens.
 *
 * @param bucket - the bucket
 * @param sub - the sub-limit in force
 * @param now - present time
 * @internal
 */
export function settleBucket (bucket: Bucket, sub: SubLimit, now: Millis): void {
  const limit: SubLimit = { rate: Math.min(bucket.rate, sub.rate), burst: Math.min(bucket.burst, sub.burst) }
  // A share that came back fills the bucket from its expiry on, even if nobody looked at the bucket since.
  for (const [holder, grant] of listExpired(bucket, now)) {
    fillBucket(bucket, limit, grant.expiresAt)
    bucket.grants.delete(holder)
    addShares(bucket, grant.share, grant.room)
  }
  fillBucket(bucket, limit, now)
  bucket.rate = sub.rate
  bucket.burst = sub.burst
}

function listExpired ({ grants }: Bucket, now: Millis): Array<[NodeId, OwnerGrant]> {
  const expired = [...grants].filter(([, { expiresAt }]) => expiresAt <= now)
  return expired.sort(([, a], [, b]) => a.expiresAt - b.expiresAt)
}

function fillBucket (bucket: Bucket, { rate, burst }: SubLimit, until: Millis): void {
  const elapsed = Math.max(0, until - bucket.filledAt)
  bucket.level = Math.min(bucket.room * burst, bucket.level + bucket.share * rate * elapsed / 1_000)
  if (until > bucket.filledAt) bucket.filledAt = until
}

/** What is left of a holder's grant after its statement. @internal */
export interface KeptGrant {
  readonly share: number
  readonly room: number
  readonly level: number
  readonly continued: boolean
}

/**
 * Takes back what a holder no longer keeps. A statement about a grant that is not in the books keeps nothing.
 *
 * @param bucket - a settled bucket
 * @param statement - what the holder keeps and returns; newer than the last one
 * @param epoch - epoch of this owner
 * @returns what the holder keeps
 * @internal
 */
export function reclaim (bucket: Bucket, statement: GrantStatement, epoch: number): KeptGrant {
  const grant = bucket.grants.get(statement.holder)
  if (grant === undefined) return { share: 0, room: 0, level: 0, continued: false }
  const continued = statement.epoch === epoch
  const share = continued ? Math.min(grant.share, statement.share) : 0
  const room = continued ? Math.min(grant.room, statement.room) : 0
  addShares(bucket, grant.share - share, grant.room - room)
  if (continued) bucket.level = Math.min(bucket.room * bucket.burst, bucket.level + statement.returned)
  grant.share = share
  grant.room = room
  grant.number = statement.number
  return { share, room, level: continued ? statement.level : 0, continued }
}

function addShares (bucket: Bucket, share: number, room: number): void {
  bucket.share += share
  bucket.room += room
  // Sums of fractions drift; without grants both are whole again.
  if (bucket.grants.size > 0) return
  bucket.share = 1
  bucket.room = 1
}

/**
 * @param state - the node's state
 * @param effects - receives the timer of the sweep, unless it runs
 * @internal
 */
export function startSweep (state: NodeState, effects: NodeEffect[]): void {
  if (state.limits.sweeping) return
  state.limits.sweeping = true
  effects.push({
    slice: 'timer',
    type: 'set',
    id: toId('limits/sweep'),
    delay: SWEEP_INTERVAL,
    event: { slice: 'limits', type: 'sweepDue' }
  })
}

/**
 * Drops buckets that are full and have no grants, so that idle teams cost no memory.
 *
 * @param state - the node's state
 * @returns effects: the next sweep while buckets are left
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
  state.limits.sweeping = false
  const effects: NodeEffect[] = []
  if (left > 0) startSweep(state, effects)
  return effects
}

function isIdle (state: NodeState, bucket: Bucket): boolean {
  const sub = findSubLimit(state, bucket.team)
  if (sub === undefined) return true
  settleBucket(bucket, sub, state.now)
  return bucket.grants.size === 0 && bucket.held.length === 0 && bucket.level >= bucket.burst
}
