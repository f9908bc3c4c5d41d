import { isFresh } from '../control/isFresh'
import type { NodeState } from '../NodeState'
import { InvariantError } from './InvariantError'

/**
 * I5, gateway: a token is spent only from a grant that has not expired by the holder's clock, and only while the node
 * is fresh.
 *
 * @param state - the state after the step; the list of grants that the step spent from is cleared
 * @throws InvariantError when a token was spent that the owner may have taken back
 * @internal
 */
export function assertGrantsUsable (state: NodeState): void {
  const { spends } = state.limits.touched
  if (spends.length === 0) return
  for (const grant of spends) {
    if (grant.expiresAt <= state.now) throw new InvariantError('I5', 'a token spent from an expired grant')
    if (grant.level < 0) throw new InvariantError('I5', 'more tokens spent than granted')
  }
  if (!isFresh(state)) throw new InvariantError('I5', 'a token spent while the node is not fresh')
  spends.length = 0
}
