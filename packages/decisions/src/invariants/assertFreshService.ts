import { millis } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import { FRESHNESS_BOUND } from '../control/isFresh'
import { InvariantError } from './InvariantError'

/**
 * I4, I13: a node admits requests of teams only shortly after the head was read or a majority was heard, and the
 * revision in force was the latest then.
 *
 * @param state - the state after the arrival of a team's request
 * @throws InvariantError when the request went on although the configuration is unconfirmed
 * @internal
 */
export function assertFreshService ({ control, now }: NodeState): void {
  const isLatest = control.revision === control.highestHeard
  const confirmedAt = isLatest ? millis(Math.max(control.headReadAt, control.majorityAt)) : control.heldProofAt
  if (now - confirmedAt > FRESHNESS_BOUND) {
    throw new InvariantError('I13', `served revision ${control.revision}, confirmed ${now - confirmedAt} ms ago`)
  }
}
