import type { Member } from '../directory/Member'
import type { MeshState } from '../MeshState'
import type { GatewayRequest } from './GatewayState'

/** Ranks the nodes that a gateway may ask for a slot. @public */
export abstract class CandidateRanking {
  /**
   * @param state - the node's state
   * @param request - the request that needs a slot
   * @param candidates - nodes whose backend servers belong to the request's service
   * @returns the candidates, best first
   */
  abstract rank (state: MeshState, request: GatewayRequest, candidates: readonly Member[]): Member[]
}
