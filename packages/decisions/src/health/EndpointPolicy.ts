import type { DirectoryEntry } from '../membership/MembershipState'
import type { NodeState } from '../NodeState'

/** Chooses the endpoint for an attempt. @public */
export abstract class EndpointPolicy {
  /**
   * @param candidates - endpoints that accept new work; never empty
   * @param state - the node's state, with its random generator and the endpoints' load reports
   * @returns one of the candidates
   */
  abstract choose (candidates: readonly DirectoryEntry[], state: NodeState): DirectoryEntry
}
