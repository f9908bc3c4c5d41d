import type { NodeState } from '../NodeState'
import { findDomainLimit } from './findDomainLimit'
import type { GrantKey, GrantRecall, GrantStatement } from './GrantMessages'
import { refillGrant } from './heldGrants'
import { REFILL_LOOKAHEAD, SCARCE_BURST_TOKENS } from './limitConstants'
import type { HeldGrant } from './LimitsState'

/** Minimum number of tokens, or share of the rate, that is worth a message. */
const MIN_RETURN = 0.001

/**
 * Reduces a held grant by what its owner recalls: the share above `keepShare`, and all tokens unless requests wait for
 * them.
 *
 * @param state - the node's state
 * @param recall - the recall
 * @returns the statement for the owner, or undefined when there is nothing to return
 * @internal
 */
export function applyRecall (state: NodeState, recall: GrantRecall): GrantStatement | undefined {
  const limiter = state.limits.limiters.get(recall.team)
  const grant = limiter?.grants.get(recall.domain)
  const limit = findDomainLimit(state, recall.team)
  if (limiter === undefined || grant === undefined || limit === undefined) return undefined
  // A return would void the answer to an outstanding grant request, and that request has already returned the surplus.
  if (grant.epoch !== recall.epoch || limiter.outstanding.has(recall.domain)) return undefined
  const level = refillGrant(state, grant, limit)
  // Partial tokens of a scarce burst are returned even if requests wait: split among gateways, they serve no request.
  const isScarce = recall.keepShare === 0 && grant.burst < SCARCE_BURST_TOKENS
  const kept = limiter.waiting.length > 0 && !isScarce ? level : 0
  const share = Math.min(grant.share, recall.keepShare)
  if (level - kept < MIN_RETURN && grant.share - share < MIN_RETURN) return undefined
  return shrinkGrant(state, recall, grant, { share, level: kept })
}

/** The part of a grant that its holder keeps. @internal */
export interface RetainedGrant {
  readonly share: number
  /** Defaults to what the level and the refill until the next renewal need. */
  readonly room?: number
  /** At most the current level. */
  readonly level: number
}

/**
 * Reduces a held grant to the retained part and describes the change for the owner.
 *
 * @param state - the node's state
 * @param key - team, domain and holder
 * @param grant - the refilled grant; an expired one retains nothing
 * @param retained - what to keep
 * @returns the statement for the owner
 * @internal
 */
export function shrinkGrant (
  state: NodeState,
  key: GrantKey,
  grant: HeldGrant,
  retained: RetainedGrant
): GrantStatement {
  const isValid = grant.expiresAt > state.now
  const share = isValid ? retained.share : 0
  const level = isValid ? retained.level : 0
  const returned = isValid ? grant.level - level : 0
  grant.share = share
  const burstShare = retained.room ?? computeBurstShare(grant, level + computeRefill(grant, share), returned)
  grant.room = isValid && grant.burst > 0 ? burstShare : 0
  grant.level = Math.min(level, grant.room * grant.burst)
  return {
    team: key.team,
    domain: key.domain,
    holder: key.holder,
    number: ++state.limits.lastMessageNumber,
    epoch: grant.epoch,
    share,
    room: grant.room,
    level: grant.level,
    returned
  }
}

/** Returned tokens take their burst share along, because the owner's bucket may have no other space for them. */
function computeBurstShare ({ room, burst }: HeldGrant, needed: number, returned: number): number {
  return Math.max(0, Math.min(needed / burst, room - returned / burst))
}

/** Computes the refill until the next renewal, in tokens; at least one whole token. */
function computeRefill ({ rate }: HeldGrant, share: number): number {
  return share > 0 ? Math.max(1, share * rate * REFILL_LOOKAHEAD / 1_000) : 0
}
