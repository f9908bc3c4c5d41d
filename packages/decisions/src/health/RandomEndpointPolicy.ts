import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { DirectoryEntry } from '../membership/MembershipState'
import type { NodeState } from '../NodeState'
import { EndpointPolicy } from './EndpointPolicy'

/** Baseline policy: chooses every endpoint with equal probability. @public */
export class RandomEndpointPolicy extends EndpointPolicy {
  override choose (candidates: readonly DirectoryEntry[], { random }: NodeState): DirectoryEntry {
    const index = uniformInt(random, 0, candidates.length - 1)
    return candidates[index]!
  }
}
