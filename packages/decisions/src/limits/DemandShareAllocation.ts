import { millis } from '@lavenderturn/types'
import { TOKEN_TOLERANCE } from './heldGrants'
import { REFILL_LOOKAHEAD, SCARCE_BURST_TOKENS, TIGHT_BURST_SHARE } from './limitConstants'
import type { Bucket, IssuedGrant } from './LimitsState'
import { type Allocation, type AllocationRequest, type RecallTarget, ShareAllocationPolicy } from './ShareAllocationPolicy'

/** Fraction of the owner's remaining tokens that one grant request can prefetch; the rest is for other gateways. */
const MAX_PREFETCH_FRACTION = 0.5

/** Bounds the messages that a team over its rate can cause. */
const MAX_RECALLS_PER_REQUEST = 8

/** Minimum time between two recalls from the same holder. */
const MIN_RECALL_INTERVAL = millis(50)

/** A holder that lacked tokens within this time has none to return. */
const SHORTAGE_WINDOW = millis(250)

/** A share is recalled when it exceeds the fair share by this factor; less is not worth a message. */
const FAIR_SHARE_TOLERANCE = 1.2

/** Minimum burst per gateway, beyond the refill of `REFILL_LOOKAHEAD`, for dividing a domain limit among gateways. */
const MIN_TOKENS_PER_GATEWAY = 2

/** Grants gateways what they need, and divides the rate in proportion to demand when demand exceeds it. @public */
export class DemandShareAllocation extends ShareAllocationPolicy {
  override allocate (request: AllocationRequest): Allocation {
    const { bucket, ask } = request
    const requiredTokens = computeRequiredTokens(request)
    if (!isDivisible(bucket) && (ask.demand === 0 || !isOnlyHolder(request))) {
      return { share: 0, room: computeBurstShare(request, requiredTokens, 0), tokens: requiredTokens, keepShare: 0 }
    }
    const prefetchedTokens = Math.min(
      Math.max(0, ask.tokens - ask.waiting),
      (bucket.level - requiredTokens) * MAX_PREFETCH_FRACTION
    )
    const tokens = requiredTokens + prefetchedTokens
    const share = clamp(computeFairShare(request) - request.kept.share, 0, bucket.share)
    const burstShare = computeBurstShare(request, tokens, request.kept.share + share)
    return { share: Math.max(share, computeOverflowShare(request, burstShare)), room: burstShare, tokens }
  }

  override selectRecalls (request: AllocationRequest): RecallTarget[] {
    const { bucket, ask, kept, now } = request
    const lacksTokens = ask.waiting > bucket.level
    const lacksShare = ask.demand > 0 && computeFairShare(request) > (kept.share + bucket.share) * FAIR_SHARE_TOLERANCE
    if (!lacksTokens && !lacksShare) return []
    const totalDemand = sumDemand(request)
    const targets: Array<RecallTarget & { readonly grant: IssuedGrant }> = []
    for (const [holder, grant] of bucket.grants) {
      if (holder === ask.holder || now - grant.recalledAt < MIN_RECALL_INTERVAL) continue
      const fairShare = totalDemand > 0 && isDivisible(bucket) ? grant.demand / totalDemand : 0
      const isExcessive = grant.share > fairShare * FAIR_SHARE_TOLERANCE && (lacksShare || !isDivisible(bucket))
      const mayHaveTokens = lacksTokens && grant.room > 0 && now - grant.lastShortageAt >= SHORTAGE_WINDOW
      if (isExcessive || mayHaveTokens) targets.push({ holder, grant, keepShare: Math.min(fairShare, grant.share) })
    }
    return targets.sort((a, b) => a.grant.demand - b.grant.demand).slice(0, MAX_RECALLS_PER_REQUEST)
  }
}

/**
 * Whether the burst is large enough to be divided, so that each of several holders can collect whole tokens. Otherwise
 * the owner keeps the rate and serves gateways in turn, and only a sole holder gets a share of the rate.
 */
function isDivisible ({ burst, rate, grants }: Readonly<Bucket>): boolean {
  return burst >= MIN_TOKENS_PER_GATEWAY * (1 + grants.size) + rate * REFILL_LOOKAHEAD / 1_000
}

function isOnlyHolder ({ bucket, ask }: AllocationRequest): boolean {
  if (bucket.pending.length > 0) return false
  for (const holder of bucket.grants.keys()) if (holder !== ask.holder) return false
  return true
}

/** Grants no partial tokens of a scarce burst: split among several gateways, they make a whole token at none. */
function computeRequiredTokens ({ bucket, ask, domainCount }: AllocationRequest): number {
  const isPartialToken = bucket.level < Math.min(1, ask.waiting, bucket.burst) - TOKEN_TOLERANCE
  const isScarce = bucket.burst * domainCount <= SCARCE_BURST_TOKENS ||
    (bucket.burst >= 1 && bucket.burst < SCARCE_BURST_TOKENS)
  if (isPartialToken && isScarce) return 0
  return Math.min(ask.waiting, bucket.level)
}

function computeBurstShare ({ bucket, kept, ask }: AllocationRequest, tokens: number, share: number): number {
  const level = kept.level + tokens
  const refill = share > 0 ? Math.max(1, share * bucket.rate * REFILL_LOOKAHEAD / 1_000) : 0
  const needed = Math.max(level, level - ask.waiting + refill)
  // The burst share that the owner's own tokens occupy stays with the owner, or these tokens would be lost.
  return clamp(needed / bucket.burst - kept.room, 0, bucket.room - (bucket.level - tokens) / bucket.burst)
}

/**
 * Computes the share of the rate that follows a holder's burst share. When most of the burst is in grants, the owner's
 * bucket would overflow and lose tokens, so the rate is then divided as the burst is.
 */
function computeOverflowShare ({ bucket, kept }: AllocationRequest, burstShare: number): number {
  if (bucket.room - burstShare >= TIGHT_BURST_SHARE) return 0
  return clamp(kept.room + burstShare - kept.share, 0, bucket.share)
}

function computeFairShare (request: AllocationRequest): number {
  const { bucket, ask } = request
  if (ask.demand === 0) return 0
  return Math.min(1, ask.demand / Math.max(bucket.rate, sumDemand(request)))
}

function sumDemand ({ bucket, ask }: AllocationRequest): number {
  let sum = ask.demand
  for (const [holder, grant] of bucket.grants) if (holder !== ask.holder) sum += grant.demand
  return sum
}

function clamp (value: number, min: number, max: number): number {
  return Math.max(min, Math.min(value, max))
}
