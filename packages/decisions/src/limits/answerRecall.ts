import type { NodeState } from '../NodeState'
import { findSubLimit } from './findSubLimit'
import type { GrantKey, GrantRecall, GrantStatement } from './GrantMessages'
import { settleGrant } from './holdGrants'
import { LOOKAHEAD, SCARCE_TOKENS } from './limitTimes'
import type { HeldGrant } from './LimitsState'

/** Less than this is not worth a message. */
const WORTHWHILE = 0.001

/**
 * Gives back what the owner recalls: the share above what it lets the holder keep, and all tokens unless requests
 * wait for them.
 *
 * @param state - the node's state
 * @param recall - the recall
 * @returns what goes back, or undefined when that is nothing
 * @internal
 */
export function answerRecall (state: NodeState, recall: GrantRecall): GrantStatement | undefined {
  const holding = state.limits.holdings.get(recall.team)
  const grant = holding?.grants.get(recall.domain)
  const sub = findSubLimit(state, recall.team)
  if (holding === undefined || grant === undefined || sub === undefined) return undefined
  // A return would void the answer to an ask on its way, and the ask has returned the excess already.
  if (grant.epoch !== recall.epoch || holding.asks.has(recall.domain)) return undefined
  const level = settleGrant(state, grant, sub)
  // Parts of scarce tokens go back too, although requests wait for them: apart they serve nobody.
  const isScarce = recall.keepShare === 0 && grant.burst < SCARCE_TOKENS
  const kept = holding.waiting.length > 0 && !isScarce ? level : 0
  const share = Math.min(grant.share, recall.keepShare)
  if (level - kept < WORTHWHILE && grant.share - share < WORTHWHILE) return undefined
  return cutGrant(state, recall, grant, { share, level: kept })
}

/** What a holder keeps of a grant. @internal */
export interface GrantCut {
  readonly share: number
  /** As much as level and fill need unless stated. */
  readonly room?: number
  /** At most the level at present. */
  readonly level: number
}

/**
 * Reduces a held grant and states what is left.
 *
 * @param state - the node's state
 * @param key - team, domain and holder
 * @param grant - the grant, settled; an expired one keeps nothing
 * @param cut - what to keep
 * @returns the statement for the owner
 * @internal
 */
export function cutGrant (state: NodeState, key: GrantKey, grant: HeldGrant, cut: GrantCut): GrantStatement {
  const alive = grant.expiresAt > state.now
  const share = alive ? cut.share : 0
  const level = alive ? cut.level : 0
  const returned = alive ? grant.level - level : 0
  grant.share = share
  const room = cut.room ?? findRoom(grant, level + findFill(grant, share), returned)
  grant.room = alive && grant.burst > 0 ? room : 0
  grant.level = Math.min(level, grant.room * grant.burst)
  return {
    team: key.team,
    domain: key.domain,
    holder: key.holder,
    number: ++state.limits.lastNumber,
    epoch: grant.epoch,
    share,
    room: grant.room,
    level: grant.level,
    returned
  }
}

/** Returned tokens take their part of the burst along: the owner may have no other room for them. */
function findRoom ({ room, burst }: HeldGrant, needed: number, returned: number): number {
  return Math.max(0, Math.min(needed / burst, room - returned / burst))
}

/** Room for the fill until the next renewal, and for one whole token at least. */
function findFill ({ rate }: HeldGrant, share: number): number {
  return share > 0 ? Math.max(1, share * rate * LOOKAHEAD / 1_000) : 0
}
