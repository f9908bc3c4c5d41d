import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import type { DirectoryEntry } from '../membership/MembershipState'

/** Picks the endpoint that runs an attempt. @public */
export abstract class EndpointPolicy {
  /**
   * @param candidates - endpoints that may get new work; never empty
   * @param random - the node's random generator
   * @returns one of the candidates
   */
  abstract choose (candidates: readonly DirectoryEntry[], random: RandomGenerator): DirectoryEntry
}
