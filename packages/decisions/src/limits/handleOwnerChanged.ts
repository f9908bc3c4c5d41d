import { addMillis, type NodeId } from '@lavenderturn/types'
import { assignmentKey, supersedes } from '../control/Assignment'
import { isFirstEntry, type OwnerChange } from '../control/OwnerChange'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { countDomains } from './findSubLimit'
import { denyHeld } from './holdAsks'
import { TAKE_OVER_WAIT } from './limitTimes'
import { endHandOver } from './startHandOver'

/**
 * Reacts to a new entry of the assignment. A new owner starts with empty buckets and waits until grants of the old
 * owner cannot be in use; a partition that came by hand-over is open already. An old owner drops its buckets.
 *
 * @param state - the node's state
 * @param change - the entry
 * @returns effects
 * @internal
 */
export function handleOwnerChanged (state: NodeState, change: Omit<OwnerChange, 'at'>): NodeEffect[] {
  const { entry } = change
  const key = assignmentKey(entry.partition, entry.domain)
  const owned = state.limits.owned.get(key)
  if (owned !== undefined && !supersedes(entry, owned.entry)) return []
  const denials = owned === undefined ? [] : denyHeld(owned)
  if (entry.owner !== state.identity.nodeId) {
    return owned === undefined ? [] : [...denials, ...dropPartition(state, key, entry.owner)]
  }
  const openAt = isFirst(state, change) ? state.now : addMillis(state.now, TAKE_OVER_WAIT)
  state.limits.owned.set(key, { entry, openAt, buckets: new Map() })
  return [...denials, {
    slice: 'log',
    type: 'stateChanged',
    message: 'partition taken over',
    fields: { partition: entry.partition, domain: entry.domain, epoch: entry.epoch }
  }]
}

/** Before the first assignment nobody has granted anything, unless the rate was divided among other domains then. */
function isFirst (state: NodeState, { entry, previous }: Omit<OwnerChange, 'at'>): boolean {
  countDomains(state)
  return isFirstEntry(entry) && previous === undefined && state.limits.division.earlier === 0
}

function dropPartition (state: NodeState, key: string, owner: NodeId): NodeEffect[] {
  return [{
    slice: 'log', type: 'stateChanged', message: 'partition given up', fields: { partition: key, owner }
  }, ...endHandOver(state, key)]
}
