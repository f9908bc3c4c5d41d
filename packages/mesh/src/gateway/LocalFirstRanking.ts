import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { isAlive } from '../directory/isAlive'
import type { Member } from '../directory/Member'
import type { MeshState } from '../MeshState'
import { CandidateRanking } from './CandidateRanking'
import type { GatewayRequest } from './GatewayState'
import { canRetry } from './retryBudget'

/**
 * Part of the route's target that a server in another data centre must save in waiting time: bytes between data
 * centres are paid for.
 */
const REMOTE_COST_SHARE = 0.25

/** Further waiting time that it must save for each kilobyte of the request's body. */
const REMOTE_COST_MS_PER_KB = 15

/** Spreads requests over servers that are equally good. */
const RANDOM_SPREAD_MS = 40

/** What a full set of used slots costs, so that the emptiest of several free servers is preferred. */
const UTILIZATION_COST_MS = 120

/** Cost of a server that is suspect. */
const SUSPECT_COST_MS = 4_000

/** Cost of a suspect server for a request that has waited long for a sound one. */
const RELAXED_SUSPECT_COST_MS = 400

/** What a suspect server is preferred by when a request tries it out. */
const TRIAL_BONUS_MS = 150

/** Cost of a path whose last question was not answered. */
const AVOIDED_PATH_COST_MS = 6_000

/** Cost of a server that takes no new work, as far as is known. */
const CLOSED_COST_MS = 10_000

/** Cost of a node that has been silent. */
const SILENT_COST_MS = 20_000

/** Service time that is assumed before one is known. */
const DEFAULT_SERVICE_MS = 300

/** Chance that a request that could be sent again goes to a suspect server first, so that its recovery is noticed. */
const TRIAL_PROBABILITY = 0.35

/** Prefers free servers of the gateway's own data centre, and others only when they save waiting time. @public */
export class LocalFirstRanking extends CandidateRanking {
  override rank (state: MeshState, request: GatewayRequest, candidates: readonly Member[]): Member[] {
    const medianServiceMs = findMedian(candidates.map(({ load }) => load.serviceMs).filter((time) => time > 0))
    const trial = canRetry(state, request) && uniformFloat64(state.random) < TRIAL_PROBABILITY
    const costs = candidates.map((member) => {
      return { member, cost: estimateCost(state, member, { request, medianServiceMs, trial }) }
    })
    costs.sort((left, right) => left.cost - right.cost)
    return costs.map(({ member }) => member)
  }
}

interface RankingContext {
  readonly request: GatewayRequest
  readonly medianServiceMs: number
  /** Whether the request may try out a suspect server. */
  readonly trial: boolean
}

function estimateCost (
  state: MeshState,
  member: Member,
  { request, medianServiceMs, trial }: RankingContext
): number {
  const { load } = member
  const serviceMs = load.serviceMs > 0 ? load.serviceMs : medianServiceMs
  const slots = Math.max(1, load.slots)
  const excess = Math.max(0, load.used + load.queued + 1 - slots)
  let cost = uniformFloat64(state.random) * RANDOM_SPREAD_MS
  cost += excess / slots * serviceMs + Math.min(1, load.used / slots) * UTILIZATION_COST_MS
  // A server that is slower than its peers delays the request by the difference.
  cost += Math.max(0, serviceMs - medianServiceMs)
  if (member.dataCentre !== state.identity.dataCentre) {
    cost += request.route.target * REMOTE_COST_SHARE + request.bodyBytes / 1_024 * REMOTE_COST_MS_PER_KB
  }
  if (load.suspect) cost += trial ? -TRIAL_BONUS_MS : request.acceptSuspect ? RELAXED_SUSPECT_COST_MS : SUSPECT_COST_MS
  if (state.now < member.avoidUntil) cost += AVOIDED_PATH_COST_MS
  if (!load.open) cost += CLOSED_COST_MS
  if (!isAlive(state, member)) cost += SILENT_COST_MS
  return cost
}

function findMedian (times: number[]): number {
  if (times.length === 0) return DEFAULT_SERVICE_MS
  times.sort((left, right) => left - right)
  return times[Math.floor(times.length / 2)]!
}
