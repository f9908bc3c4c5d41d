import { type Millis, millis } from '@lavenderturn/types'
import type { TeamRule } from '../configuration/FleetConfiguration'
import { countMembers, isMutuallyReachable } from '../directory/countMembers'
import type { MeshEffect } from '../MeshEffect'
import type { MeshState } from '../MeshState'
import type { QuotaEvent } from './QuotaEvent'
import type { TokenBucket } from './QuotaState'
import { rankOwners } from './rankOwners'

const MILLISECONDS_PER_SECOND = 1_000

/** Tokens in a new bucket. Low, because the previous owner may just have granted the whole burst. */
const INITIAL_TOKENS = 2

/**
 * Part of its share that a fallback owner grants while it reaches the owner itself. The owner may then be unreachable
 * only for the nodes that ask the fallback.
 */
const FALLBACK_OWNER_SHARE = 0.5

/** Time for which a node counts as a requester after its latest token request. */
const REQUESTER_TIMEOUT = millis(2_000)

/**
 * Grants or refuses a token of a team's rate.
 *
 * @param state - the node's state
 * @param event - the token request
 * @returns the reply and a log line
 * @internal
 */
export function reduceQuota (state: MeshState, { message }: QuotaEvent): MeshEffect[] {
  const { team, node } = message
  const rule = state.configuration.current?.teams.get(team)
  // A team unknown to this node was added in a later configuration or has been removed. The requester decides about it.
  if (rule === undefined || rule.ratePerSecond === 0) return [composeTokenReply(message, true)]
  const bucket = findOrCreateBucket(state, rule)
  bucket.requesters.set(node, state.now)
  const share = findRateShare(state, rule, bucket)
  const rate = rule.ratePerSecond * share
  const burst = Math.max(1, rule.burst * share)
  refill(bucket, { now: state.now, rate, burst })
  if (bucket.level < 1) {
    const waitMs = Math.ceil((1 - bucket.level) / rate * MILLISECONDS_PER_SECOND)
    const fields = { team, asker: node, rate, burst, share, waitMs }
    return [
      composeTokenReply(message, false, waitMs),
      { slice: 'log', type: 'line', level: 'debug', message: 'token refused', fields }
    ]
  }
  bucket.level -= 1
  return [composeTokenReply(message, true)]
}

function composeTokenReply (
  { replyTo: to, grant }: QuotaEvent['message'],
  granted: boolean,
  waitMs = 0
): MeshEffect {
  return { slice: 'peer', type: 'send', to, message: { kind: 'token', grant, granted, waitMs } }
}

function findOrCreateBucket (state: MeshState, { id }: TeamRule): TokenBucket {
  const existing = state.quota.buckets.get(id)
  if (existing !== undefined) return existing
  const created: TokenBucket = { level: INITIAL_TOKENS, refilledAt: state.now, requesters: new Map() }
  state.quota.buckets.set(id, created)
  return created
}

/**
 * Finds the share of the rate that this node may grant. The owner grants the share of the nodes it can reach. A
 * fallback owner grants only the share of the nodes that send it requests, because the owner may still serve all
 * others.
 */
function findRateShare (state: MeshState, { id }: TeamRule, bucket: TokenBucket): number {
  const { reachable, total } = countMembers(state)
  const [owner] = rankOwners(state, { team: id, count: 1 })
  if (owner?.node === state.identity.nodeId) return reachable / total
  for (const [node, askedAt] of bucket.requesters) {
    if (state.now - askedAt > REQUESTER_TIMEOUT) bucket.requesters.delete(node)
  }
  const factor = owner !== undefined && isMutuallyReachable(state, owner) ? FALLBACK_OWNER_SHARE : 1
  return Math.min(1, bucket.requesters.size / total) * factor
}

function refill (
  bucket: TokenBucket,
  { now, rate, burst }: { readonly now: Millis, readonly rate: number, readonly burst: number }
): void {
  const added = (now - bucket.refilledAt) / MILLISECONDS_PER_SECOND * rate
  bucket.level = Math.min(burst, bucket.level + added)
  bucket.refilledAt = now
}
