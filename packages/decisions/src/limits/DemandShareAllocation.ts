import { millis } from '@lavenderturn/types'
import { TOKEN_TOLERANCE } from './holdGrants'
import { LOOKAHEAD, SCARCE_TOKENS, TIGHT_ROOM } from './limitTimes'
import type { Bucket, OwnerGrant } from './LimitsState'
import { type Allocation, type AllocationRequest, type RecallTarget, ShareAllocationPolicy } from './ShareAllocationPolicy'

/** Part of the owner's tokens that one ask can get beyond what waits now; the rest stays for other gateways. */
const LOOKAHEAD_PART = 0.5

/** Holders recalled for one ask; bounds the messages that a team over its rate can cause. */
const MAX_RECALLS = 8

/** A holder is not recalled again within this time. */
const RECALL_INTERVAL = millis(50)

/** A holder that lacked tokens itself this recently has none to give back. */
const STARVED_INTERVAL = millis(250)

/** A share this far above a holder's fair part is recalled; less is not worth a message. */
const FAIR_TOLERANCE = 1.2

/** Tokens for each gateway, beyond the fill until a renewal, from which a sub-limit is divided among gateways. */
const AMPLE_TOKENS = 2

/** Gives gateways what they need, and divides by demand when that is more than there is. @public */
export class DemandShareAllocation extends ShareAllocationPolicy {
  override allocate (request: AllocationRequest): Allocation {
    const { bucket, ask } = request
    const wanted = findTokens(request)
    if (!isAmple(bucket) && (ask.demand === 0 || !isSole(request))) {
      return { share: 0, room: findRoom(request, wanted, 0), tokens: wanted, keepShare: 0 }
    }
    const ahead = Math.min(Math.max(0, ask.tokens - ask.waiting), (bucket.level - wanted) * LOOKAHEAD_PART)
    const tokens = wanted + ahead
    const share = clamp(fairShare(request) - request.kept.share, 0, bucket.share)
    const room = findRoom(request, tokens, request.kept.share + share)
    return { share: Math.max(share, findOverflow(request, room)), room, tokens }
  }

  override selectRecalls (request: AllocationRequest): RecallTarget[] {
    const { bucket, ask, kept, now } = request
    const lacksTokens = ask.waiting > bucket.level
    const lacksShare = ask.demand > 0 && fairShare(request) > (kept.share + bucket.share) * FAIR_TOLERANCE
    if (!lacksTokens && !lacksShare) return []
    const total = sumDemand(request)
    const targets: Array<RecallTarget & { readonly grant: OwnerGrant }> = []
    for (const [holder, grant] of bucket.grants) {
      if (holder === ask.holder || now - grant.recalledAt < RECALL_INTERVAL) continue
      const fair = total > 0 && isAmple(bucket) ? grant.demand / total : 0
      const exceeds = grant.share > fair * FAIR_TOLERANCE && (lacksShare || !isAmple(bucket))
      const mayHaveTokens = lacksTokens && grant.room > 0 && now - grant.starvedAt >= STARVED_INTERVAL
      if (exceeds || mayHaveTokens) targets.push({ holder, grant, keepShare: Math.min(fair, grant.share) })
    }
    return targets.sort((a, b) => a.grant.demand - b.grant.demand).slice(0, MAX_RECALLS)
  }
}

/**
 * Whether the burst can be divided: each of several holders must be able to collect whole tokens. Otherwise the owner
 * keeps the rate and serves gateways in turn, and only a gateway that is alone gets all.
 */
function isAmple ({ burst, rate, grants }: Readonly<Bucket>): boolean {
  return burst >= AMPLE_TOKENS * (1 + grants.size) + rate * LOOKAHEAD / 1_000
}

function isSole ({ bucket, ask }: AllocationRequest): boolean {
  if (bucket.held.length > 0) return false
  for (const holder of bucket.grants.keys()) if (holder !== ask.holder) return false
  return true
}

/** Parts of scarce tokens at several gateways leave no room for a whole one anywhere. */
function findTokens ({ bucket, ask, domainCount }: AllocationRequest): number {
  const isPart = bucket.level < Math.min(1, ask.waiting, bucket.burst) - TOKEN_TOLERANCE
  const isScarce = bucket.burst * domainCount <= SCARCE_TOKENS || (bucket.burst >= 1 && bucket.burst < SCARCE_TOKENS)
  if (isPart && isScarce) return 0
  return Math.min(ask.waiting, bucket.level)
}

function findRoom ({ bucket, kept, ask }: AllocationRequest, tokens: number, share: number): number {
  const level = kept.level + tokens
  const fill = share > 0 ? Math.max(1, share * bucket.rate * LOOKAHEAD / 1_000) : 0
  const needed = Math.max(level, level - ask.waiting + fill)
  // Room that the owner's own tokens fill stays, or they would be lost.
  return clamp(needed / bucket.burst - kept.room, 0, bucket.room - (bucket.level - tokens) / bucket.burst)
}

/**
 * When most of the burst is in grants, the owner's part would overflow and lose tokens. Then the rate is divided as
 * the burst is.
 */
function findOverflow ({ bucket, kept }: AllocationRequest, room: number): number {
  if (bucket.room - room >= TIGHT_ROOM) return 0
  return clamp(kept.room + room - kept.share, 0, bucket.share)
}

function fairShare (request: AllocationRequest): number {
  const { bucket, ask } = request
  if (ask.demand === 0) return 0
  return Math.min(1, ask.demand / Math.max(bucket.rate, sumDemand(request)))
}

function sumDemand ({ bucket, ask }: AllocationRequest): number {
  let sum = ask.demand
  for (const [holder, grant] of bucket.grants) if (holder !== ask.holder) sum += grant.demand
  return sum
}

function clamp (value: number, least: number, most: number): number {
  return Math.max(least, Math.min(value, most))
}
