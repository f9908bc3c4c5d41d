import { addMillis, type TeamId } from '@lavenderturn/types'
import { listDomains } from '../control/Assignment'
import type { NodeState } from '../NodeState'
import { TAKEOVER_DELAY } from './limitConstants'

/** A team's rate and burst in one domain. @public */
export interface DomainLimit {
  /** Tokens per second. */
  readonly rate: number
  /** Tokens. */
  readonly burst: number
}

/**
 * Divides a team's declared rate and burst equally among the domains.
 *
 * @param state - the node's state
 * @param team - the team
 * @returns the limit in each domain, or undefined when the team is not declared
 * @internal
 */
export function findDomainLimit (state: NodeState, team: TeamId): DomainLimit | undefined {
  const entry = state.control.document?.findTeam(team)
  const count = countDomains(state)
  if (entry === undefined || count === 0) return undefined
  return { rate: entry.ratePerSecond / count, burst: entry.burst / count }
}

/**
 * Counts the domains among which rates are divided. A domain that was removed from the declaration still counts for
 * `TAKEOVER_DELAY`: until its owner knows and its grants have expired, the other domains must not use its part.
 *
 * @param state - the node's state
 * @returns the number of domains
 * @internal
 */
export function countDomains (state: NodeState): number {
  const { domainCount } = state.limits
  const count = listDomains(state).length
  if (count !== domainCount.count) {
    const previousInUse = state.now < addMillis(domainCount.changedAt, TAKEOVER_DELAY)
    domainCount.previous = previousInUse ? Math.max(domainCount.previous, domainCount.count) : domainCount.count
    domainCount.count = count
    domainCount.changedAt = state.now
  }
  const isSettled = state.now >= addMillis(domainCount.changedAt, TAKEOVER_DELAY)
  return isSettled ? count : Math.max(count, domainCount.previous)
}
