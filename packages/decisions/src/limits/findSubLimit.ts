import { addMillis, type TeamId } from '@lavenderturn/types'
import { listDomains } from '../control/Assignment'
import type { NodeState } from '../NodeState'
import { TAKE_OVER_WAIT } from './limitTimes'

/** Rate and burst of a team in one domain. @public */
export interface SubLimit {
  /** Tokens a second. */
  readonly rate: number
  /** Tokens. */
  readonly burst: number
}

/**
 * Finds a team's part of rate and burst in each domain.
 *
 * @param state - the node's state
 * @param team - the team
 * @returns the sub-limit, or undefined when the team is not declared
 * @internal
 */
export function findSubLimit (state: NodeState, team: TeamId): SubLimit | undefined {
  const entry = state.control.document?.findTeam(team)
  const count = countDomains(state)
  if (entry === undefined || count === 0) return undefined
  return { rate: entry.ratePerSecond / count, burst: entry.burst / count }
}

/**
 * A domain that was removed from the declaration is counted a while longer: until its owner knows and its grants have
 * expired, the other domains must not use its part.
 *
 * @param state - the node's state
 * @returns the number of domains over which rates are divided
 * @internal
 */
export function countDomains (state: NodeState): number {
  const { division } = state.limits
  const count = listDomains(state).length
  if (count !== division.count) {
    const overlaps = state.now < addMillis(division.changedAt, TAKE_OVER_WAIT)
    division.earlier = overlaps ? Math.max(division.earlier, division.count) : division.count
    division.count = count
    division.changedAt = state.now
  }
  const isSettled = state.now >= addMillis(division.changedAt, TAKE_OVER_WAIT)
  return isSettled ? count : Math.max(count, division.earlier)
}
