import { isFresh } from '../control/isFresh'
import type { NodeState } from '../NodeState'
import { InvariantError } from './InvariantError'

/**
 * I5, gateway: tokens are spent only from grants that have not expired on the holder's clock, and only while the node
 * is fresh.
 *
 * @param state - the state after the step; its list of grants that tokens were spent from is cleared
 * @throws InvariantError if a token was spent that the owner may have reclaimed
 * @internal
 */
export function assertSpentGrantsValid (state: NodeState): void {
  const { spends } = state.limits.touched
  if (spends.length === 0) return
  for (const grant of spends) {
    if (grant.expiresAt <= state.now) throw new InvariantError('I5', 'a token was spent from an expired grant')
    if (grant.level < 0) throw new InvariantError('I5', 'more tokens were spent than granted')
  }
  if (!isFresh(state)) throw new InvariantError('I5', 'a token was spent while the node was not fresh')
  spends.length = 0
}
