import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { millis } from '@lavenderturn/types'
import type { DirectoryEntry } from '../membership/MembershipState'
import type { NodeState } from '../NodeState'
import { EndpointPolicy } from './EndpointPolicy'
import { findLoad } from './findLoad'
import { isAvoided } from './listCandidates'

/** Requests that a report counts are taken to have ended after this time. */
const OCCUPANCY_LIFETIME = millis(1_000)

/**
 * Weight of errors, so that a server that fails fast does not look fast. With 10 a server with 30 % errors got so
 * little traffic that it was detected only after up to 14.7 s, with as many failed requests.
 */
const ERROR_PENALTY = 2

/** Factor for an endpoint behind a sick path that is used only because of the floor. */
const AVOIDED_PENALTY = 10

/** Draws two candidates and picks the one with the lower expected latency. @public */
export class PowerOfTwoChoices extends EndpointPolicy {
  override choose (candidates: readonly DirectoryEntry[], state: NodeState): DirectoryEntry {
    if (candidates.length === 1) return candidates[0]!
    const first = uniformInt(state.random, 0, candidates.length - 1)
    const other = uniformInt(state.random, 0, candidates.length - 2)
    const left = candidates[first]!
    const right = candidates[other < first ? other : other + 1]!
    return estimate(state, right, left) < estimate(state, left, right) ? right : left
  }
}

/** An endpoint that has not reported is expected to be as fast as the one it is compared with. */
function estimate (state: NodeState, entry: DirectoryEntry, compared: DirectoryEntry): number {
  const load = findLoad(state, entry.endpoint.id)
  const serviceMs = load?.serviceMs ?? findLoad(state, compared.endpoint.id)?.serviceMs ?? 1
  const limit = Math.max(1, load?.limit ?? entry.endpoint.slots)
  const penalty = isAvoided(state, entry) ? AVOIDED_PENALTY : 1
  const overheadMs = state.health.paths.get(entry.member.record.nodeId)?.overheadMs ?? 0
  const busy = 1 + countOccupied(state, entry) / limit
  return penalty * (serviceMs * busy * (1 + ERROR_PENALTY * (load?.errorRate ?? 0)) + overheadMs)
}

function countOccupied (state: NodeState, { endpoint }: DirectoryEntry): number {
  const own = state.health.outstanding.get(endpoint.id) ?? 0
  const observed = state.health.loads.get(endpoint.id)
  if (observed === undefined || state.now - observed.at > OCCUPANCY_LIFETIME) return own
  return Math.max(own, observed.load.inFlight + observed.load.queued)
}
