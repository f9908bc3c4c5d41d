import type { RequestId, TeamId } from '@lavenderturn/types'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'

/** What became of a charge. A waiting request gets `gateway/charged` or `gateway/chargeRefused` later. @public */
export type ChargeResult = 'charged' | 'waiting' | 'refused'

/**
 * Takes one token of the team's rate for a request.
 *
 * @param state - the node's state
 * @param request - the request to charge for
 * @param team - the team that pays
 * @param effects - receives the effects of asking for tokens
 * @returns whether the token was taken
 * @public
 */
export function charge (state: NodeState, request: RequestId, team: TeamId, effects: NodeEffect[]): ChargeResult {
  return 'charged'
}
