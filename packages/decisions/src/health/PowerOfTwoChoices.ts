import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { millis } from '@lavenderturn/types'
import type { DirectoryEntry } from '../membership/MembershipState'
import type { NodeState } from '../NodeState'
import { EndpointPolicy } from './EndpointPolicy'
import { findLoad } from './findLoad'
import { isAvoided } from './listCandidates'

/** Age at which the in-flight and queued counts of a load report are ignored, because those requests have ended. */
const OCCUPANCY_LIFETIME = millis(1_000)

/**
 * Weight of the error rate, so that a server that fails fast does not look fast. With 10, a server with 30 % errors got
 * so little traffic that it was detected only after up to 14.7 s, and no fewer requests failed.
 */
const ERROR_PENALTY = 2

/** Latency factor for an endpoint behind an avoided path that is used only to keep the capacity floor. */
const AVOIDED_PENALTY = 10

/** Picks two random candidates and chooses the one with the lower expected latency. @public */
export class PowerOfTwoChoices extends EndpointPolicy {
  override choose (candidates: readonly DirectoryEntry[], state: NodeState): DirectoryEntry {
    if (candidates.length === 1) return candidates[0]!
    const first = uniformInt(state.random, 0, candidates.length - 1)
    const secondOffset = uniformInt(state.random, 0, candidates.length - 2)
    const left = candidates[first]!
    const right = candidates[secondOffset < first ? secondOffset : secondOffset + 1]!
    return estimateLatency(state, right, left) < estimateLatency(state, left, right) ? right : left
  }
}

/** Estimates the latency of an endpoint. Without a load report, the service time of the other candidate is used. */
function estimateLatency (state: NodeState, entry: DirectoryEntry, other: DirectoryEntry): number {
  const load = findLoad(state, entry.endpoint.id)
  const serviceMs = load?.serviceMs ?? findLoad(state, other.endpoint.id)?.serviceMs ?? 1
  const limit = Math.max(1, load?.limit ?? entry.endpoint.slots)
  const penalty = isAvoided(state, entry) ? AVOIDED_PENALTY : 1
  const overheadMs = state.health.paths.get(entry.member.record.nodeId)?.overheadMs ?? 0
  const loadFactor = 1 + countOccupied(state, entry) / limit
  return penalty * (serviceMs * loadFactor * (1 + ERROR_PENALTY * (load?.errorRate ?? 0)) + overheadMs)
}

function countOccupied (state: NodeState, { endpoint }: DirectoryEntry): number {
  const own = state.health.outstanding.get(endpoint.id) ?? 0
  const observed = state.health.loads.get(endpoint.id)
  if (observed === undefined || state.now - observed.at > OCCUPANCY_LIFETIME) return own
  return Math.max(own, observed.load.inFlight + observed.load.queued)
}
