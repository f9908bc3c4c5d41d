import type { DirectoryEntry } from '../membership/MembershipState'
import type { NodeState } from '../NodeState'

/** Picks the endpoint that runs an attempt. @public */
export abstract class EndpointPolicy {
  /**
   * @param candidates - endpoints that may get new work; never empty
   * @param state - the node's state, for its random generator and what it knows of the endpoints
   * @returns one of the candidates
   */
  abstract choose (candidates: readonly DirectoryEntry[], state: NodeState): DirectoryEntry
}
