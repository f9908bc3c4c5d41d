import type { Revision } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import { InvariantError } from './InvariantError'

const latestRevisions = new WeakMap<NodeState, Revision>()

/**
 * I13: the revision in force at a node is never replaced by an earlier one.
 *
 * @param state - the state after a step
 * @throws InvariantError if the revision in force is lower than after an earlier step
 * @internal
 */
export function assertRevisionNeverReverts (state: NodeState): void {
  const { revision } = state.control
  const before = latestRevisions.get(state) ?? 0
  if (revision < before) throw new InvariantError('I13', `revision ${revision} replaced revision ${before}`)
  latestRevisions.set(state, revision)
}
