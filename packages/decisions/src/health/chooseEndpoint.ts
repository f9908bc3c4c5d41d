import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import type { EndpointId, ServiceId } from '@lavenderturn/types'
import type { DirectoryEntry } from '../membership/MembershipState'
import type { NodeState } from '../NodeState'
import { isAvoided, listCandidates, listEligible } from './listCandidates'
import { readShare } from './readShare'

/**
 * Chooses the endpoint of an attempt. An endpoint in trial gets its share by lot: a policy that compares expected
 * latency would never choose it.
 *
 * @param state - the node's state
 * @param service - the service
 * @param tried - endpoints that this request has tried already
 * @returns the endpoint, or undefined when none takes new work
 * @public
 */
export function chooseEndpoint (
  state: NodeState,
  service: ServiceId,
  tried: ReadonlySet<EndpointId>
): DirectoryEntry | undefined {
  const trial = drawTrial(state, service, tried)
  if (trial !== undefined) return trial
  const candidates = listCandidates(state, service, tried)
  return candidates.length === 0 ? undefined : state.policies.endpoint.choose(candidates, state)
}

function drawTrial (
  state: NodeState,
  service: ServiceId,
  tried: ReadonlySet<EndpointId>
): DirectoryEntry | undefined {
  const eligible = listEligible(state, service)
  const trials = eligible.filter((entry) => {
    const share = readShare(state, entry.endpoint.id)
    return share > 0 && share < 1 && !tried.has(entry.endpoint.id) && !isAvoided(state, entry)
  })
  if (trials.length === 0) return undefined
  let lot = uniformFloat64(state.random) * eligible.length
  return trials.find(({ endpoint }) => {
    lot -= readShare(state, endpoint.id)
    return lot < 0
  })
}
