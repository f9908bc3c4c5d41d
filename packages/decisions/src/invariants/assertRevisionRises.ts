import type { Revision } from '@lavenderturn/types'
import type { NodeState } from '../NodeState'
import { InvariantError } from './InvariantError'

const inForce = new WeakMap<NodeState, Revision>()

/**
 * I13: a revision that was in force at a node is never replaced by an earlier one.
 *
 * @param state - the state after a step
 * @throws InvariantError when the revision in force is lower than after an earlier step
 * @internal
 */
export function assertRevisionRises (state: NodeState): void {
  const { revision } = state.control
  const before = inForce.get(state) ?? 0
  if (revision < before) throw new InvariantError('I13', `revision ${revision} replaced revision ${before}`)
  inForce.set(state, revision)
}
