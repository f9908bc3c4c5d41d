import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import type { DirectoryEntry } from '../membership/MembershipState'
import { EndpointPolicy } from './EndpointPolicy'

/** Baseline: every endpoint is as likely as any other. @public */
export class RandomEndpointPolicy extends EndpointPolicy {
  override choose (candidates: readonly DirectoryEntry[], random: RandomGenerator): DirectoryEntry {
    const index = uniformInt(random, 0, candidates.length - 1)
    return candidates[index]!
  }
}
