import { millis } from '@lavenderturn/types'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { REMOTE_TRIAL_OVERDUE, TRIAL_OVERDUE } from '../admission/admissionTimings'
import { isAlive } from '../directory/isAlive'
import type { Member } from '../directory/Member'
import type { LoadSummary } from '../messages/PeerMessage'
import type { MeshState } from '../MeshState'
import { CandidateRanking } from './CandidateRanking'
import type { GatewayRequest } from './GatewayState'
import { canRetry } from './retryBudget'

/**
 * Share of the route's target time that a server in another data centre must save, because traffic between data centres
 * is charged for.
 */
const REMOTE_COST_SHARE = 0.25

/** Additional time that a remote server must save for each kilobyte of the request body. */
const REMOTE_COST_MS_PER_KB = 15

/** Upper limit of the random cost that spreads requests over equally good servers. */
const RANDOM_SPREAD_MS = 40

/** Cost of a server whose slots are all in use. Makes the least loaded of several free servers win. */
const UTILIZATION_COST_MS = 120

/** Cost of a suspect server. */
const SUSPECT_COST_MS = 4_000

/** Cost of a suspect server for a request that has waited a long time for a healthy one. */
const RELAXED_SUSPECT_COST_MS = 400

/** Bonus of a suspect server that is due for a trial. */
const TRIAL_BONUS_MS = 150

/** Additional bonus for each millisecond since the trial was due, so that the longest overdue server comes first. */
const OVERDUE_BONUS = 0.05

/** Cost of a node that did not answer the latest request sent to it. */
const AVOIDED_PATH_COST_MS = 6_000

/** Cost of a server that is last known to accept no new work. */
const CLOSED_COST_MS = 10_000

/** Cost of a node that has not been heard from within the liveness timeout. */
const SILENT_COST_MS = 20_000

/** Assumed service time while none has been measured. */
const DEFAULT_SERVICE_MS = 300

/** Time for which the load of a node that sends no heartbeats is used. */
const LOAD_VALIDITY = millis(4_000)

/**
 * Upper limit of the time for which a sound server has to be due before its mean service time is disregarded. Drawn for
 * each request, so that not all gateways choose the server at the same moment.
 */
const REFRESH_SPREAD_MS = 500

/** Refusals after which a request is no longer offered to suspect servers. Each costs a round trip between nodes. */
const MAX_REFUSALS_FOR_TRIAL = 4

/** Prefers free servers in the gateway's own data centre. Chooses others only if they save waiting time. @public */
export class LocalFirstRanking extends CandidateRanking {
  override rank (state: MeshState, request: GatewayRequest, candidates: readonly Member[]): Member[] {
    const medianServiceMs = findMedian(candidates.map(({ load }) => load.serviceMs).filter((time) => time > 0))
    const minTrialOverdueMs = findMinTrialOverdue(state, request)
    const costs = candidates.map((member) => {
      return { member, cost: estimateCost(state, member, { request, medianServiceMs, minTrialOverdueMs }) }
    })
    costs.sort((left, right) => left.cost - right.cost)
    return costs.map(({ member }) => member)
  }
}

interface RankingContext {
  readonly request: GatewayRequest
  readonly medianServiceMs: number
  /** The request is offered to suspect servers whose trial has been due for this long. */
  readonly minTrialOverdueMs: number
}

function estimateCost (
  state: MeshState,
  member: Member,
  { request, medianServiceMs, minTrialOverdueMs }: RankingContext
): number {
  const load = findKnownLoad(state, member)
  const serviceMs = load.serviceMs > 0 ? load.serviceMs : medianServiceMs
  const slots = Math.max(1, load.slots)
  const excess = Math.max(0, load.used + load.queued + 1 - slots)
  let cost = uniformFloat64(state.random) * RANDOM_SPREAD_MS
  cost += excess / slots * serviceMs + Math.min(1, load.used / slots) * UTILIZATION_COST_MS
  const overdueMs = findOverdue(state, member)
  // A server that is slower than the median delays the request by the difference. Once it has got nothing for a while
  // it may have become faster, or may have seemed slow only because it had run the longer requests.
  const isRefreshDue = overdueMs > uniformFloat64(state.random) * REFRESH_SPREAD_MS
  if (!isRefreshDue) cost += Math.max(0, serviceMs - medianServiceMs)
  const isTrialDue = load.suspect && overdueMs >= minTrialOverdueMs
  if (member.dataCentre !== state.identity.dataCentre && !isTrialDue) {
    cost += request.route.targetLatency * REMOTE_COST_SHARE + request.bodyBytes / 1_024 * REMOTE_COST_MS_PER_KB
  }
  if (isTrialDue) cost -= TRIAL_BONUS_MS + overdueMs * OVERDUE_BONUS
  else if (load.suspect) cost += request.acceptSuspect ? RELAXED_SUSPECT_COST_MS : SUSPECT_COST_MS
  if (state.now < member.avoidUntil) cost += AVOIDED_PATH_COST_MS
  cost += findLimitWait(state, member)
  if (!load.open) cost += CLOSED_COST_MS
  if (!isAlive(state, member)) cost += SILENT_COST_MS
  return cost
}

/**
 * Finds the load that a member reported. What a node that sends no heartbeats reported long ago says nothing about now;
 * its reply to the next slot request tells.
 */
function findKnownLoad ({ now }: MeshState, { load, loadReceivedAt, sendsHeartbeats }: Member): LoadSummary {
  if (sendsHeartbeats || now - loadReceivedAt < LOAD_VALIDITY) return load
  return { ...load, open: true, suspect: false, queued: 0, used: load.slots / 2 }
}

/** Finds how long a request would have to wait for a server that has reached the limit that it named. */
function findLimitWait ({ now }: MeshState, { load, loadReceivedAt }: Member): number {
  return load.limitDelayMs === 0 ? 0 : Math.max(0, load.limitDelayMs - (now - loadReceivedAt))
}

/** Requests that cannot be retried are offered only if no other request has come in time. */
function findMinTrialOverdue (state: MeshState, request: GatewayRequest): number {
  if (request.sentTo.size > 0 || request.refusedBy.size >= MAX_REFUSALS_FOR_TRIAL) return Number.POSITIVE_INFINITY
  return canRetry(state, request) ? 0 : TRIAL_OVERDUE
}

/**
 * Finds for how long a server has been due for a request. Reports from other data centres are rare, so there only what
 * the server reported counts, and only if its own data centre has left it without a request.
 */
function findOverdue ({ identity, now }: MeshState, { dataCentre, load, loadReceivedAt }: Member): number {
  if (dataCentre === identity.dataCentre) return now - loadReceivedAt - load.dueMs
  return load.dueMs <= -REMOTE_TRIAL_OVERDUE ? -load.dueMs : Number.NEGATIVE_INFINITY
}

function findMedian (times: number[]): number {
  if (times.length === 0) return DEFAULT_SERVICE_MS
  times.sort((left, right) => left - right)
  return times[Math.floor(times.length / 2)]!
}
