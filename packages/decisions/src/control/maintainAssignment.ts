import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { replaceDeadOwners } from './assignOwners'
import { startWrite } from './controlWrites'
import { isPoller } from './pollers'

/**
 * Records hand-overs in the head row and replaces dead owners. At each tick one poller of the fleet tries, on
 * average; pollers that try at once race by compare-and-set.
 *
 * @param state - the node's state
 * @returns the start of a write, if there is something to write
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
