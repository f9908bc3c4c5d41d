import { millis } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import { FRESHNESS_BOUND } from '../control/isFresh'
import { InvariantError } from './InvariantError'

/**
 * I4, I13: a node admits team requests only if it has recently read the head row or heard from a majority, and the
 * revision in force was the latest at that time.
 *
 * @param state - the state after a team's request was forwarded
 * @throws InvariantError if the configuration was confirmed too long ago
 * @internal
 */
export function assertConfigurationFresh ({ control, now }: NodeState): void {
  const isLatest = control.revision === control.highestKnownRevision
  const confirmedAt = isLatest ? millis(Math.max(control.headReadAt, control.majorityProofAt)) : control.lastConfirmedAt
  if (now - confirmedAt > FRESHNESS_BOUND) {
    throw new InvariantError(
      'I13', `request served with revision ${control.revision}, last confirmed ${now - confirmedAt} ms ago`
    )
  }
}
