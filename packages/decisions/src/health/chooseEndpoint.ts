import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import type { EndpointId, ServiceId } from '@lavenderturn/types'
import type { DirectoryEntry } from '../membership/MembershipState'
import type { NodeState } from '../NodeState'
import { isAvoided, listCandidates, listEligible } from './listCandidates'
import { findTrafficShare } from './findTrafficShare'

/**
 * Chooses the endpoint for an attempt. Endpoints in trial get their share of the traffic by a random draw before the
 * policy is asked, because a policy that compares expected latency would never choose them.
 *
 * @param state - the node's state
 * @param service - the service
 * @param tried - endpoints that earlier attempts of the request were sent to
 * @returns the endpoint, or undefined if none accepts new work
 * @public
 */
export function chooseEndpoint (
  state: NodeState,
  service: ServiceId,
  tried: ReadonlySet<EndpointId>
): DirectoryEntry | undefined {
  const trial = drawTrialEndpoint(state, service, tried)
  if (trial !== undefined) return trial
  const candidates = listCandidates(state, service, tried)
  return candidates.length === 0 ? undefined : state.policies.endpoint.choose(candidates, state)
}

function drawTrialEndpoint (
  state: NodeState,
  service: ServiceId,
  tried: ReadonlySet<EndpointId>
): DirectoryEntry | undefined {
  const eligible = listEligible(state, service)
  const trials = eligible.filter((entry) => {
    const share = findTrafficShare(state, entry.endpoint.id)
    return share > 0 && share < 1 && !tried.has(entry.endpoint.id) && !isAvoided(state, entry)
  })
  if (trials.length === 0) return undefined
  let draw = uniformFloat64(state.random) * eligible.length
  return trials.find(({ endpoint }) => {
    draw -= findTrafficShare(state, endpoint.id)
    return draw < 0
  })
}
