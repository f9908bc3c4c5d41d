import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { replaceDeadOwners } from './assignOwners'
import { startWrite } from './controlWrites'
import { isPoller } from './pollers'

/**
 * Records hand-overs in the head row and replaces dead owners. On average, one poller of the fleet attempts this at
 * each tick. If several do so at once, the compare-and-set lets one of them succeed.
 *
 * @param state - the node's state
 * @returns the start of a write, if there is a change to record
 * @internal
 */
export function maintainAssignment (state: NodeState): NodeEffect[] {
  const { control } = state
  if (!isPoller(state) || control.document === undefined || control.writes.size > 0) return []
  const pollers = [...control.pollers.values()].flat().length
  if (uniformInt(state.random, 1, pollers) > 1) return []
  if (control.unrecordedHandOvers.size === 0 && replaceDeadOwners(state).length === 0) return []
  return startWrite(state, { kind: 'assignment' })
}
