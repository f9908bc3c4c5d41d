import { millis } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import { FRESHNESS_BOUND } from '../control/isFresh'
import { InvariantError } from './InvariantError'

/**
 * I4, I13: a node admits requests of teams only with the highest revision that it has heard of, and only shortly after
 * the head was read or a majority was heard.
 *
 * @param state - the state after the arrival of a team's request
 * @throws InvariantError when the request went on although the configuration is unconfirmed
 * @internal
 */
export function assertFreshService ({ control, now }: NodeState): void {
  if (control.revision !== control.highestHeard) {
    throw new InvariantError('I13', `served revision ${control.revision}, but has heard of ${control.highestHeard}`)
  }
  const confirmedAt = millis(Math.max(control.headReadAt, control.majorityAt))
  if (now - confirmedAt > FRESHNESS_BOUND) {
    throw new InvariantError('I13', `served revision ${control.revision}, confirmed ${now - confirmedAt} ms ago`)
  }
}
