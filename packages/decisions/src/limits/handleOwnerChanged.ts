import { addMillis, type NodeId } from '@lavenderturn/types'
import { assignmentKey, supersedes } from '../control/Assignment'
import { isFirstEntry, type OwnerChange } from '../control/OwnerChange'
import type { NodeEffect } from '../NodeEffect'
import type { NodeState } from '../NodeState'
import { countDomains } from './findDomainLimit'
import { TAKEOVER_DELAY } from './limitConstants'
import { denyAllPending } from './pendingGrantRequests'
import { removePartition } from './startHandOver'

/**
 * Handles a new assignment entry. A new owner starts with empty buckets and issues no grants until those of the old
 * owner have expired; a partition that was handed over is already installed and open. An old owner drops its buckets.
 *
 * @param state - the node's state
 * @param change - the new entry and the previous one
 * @returns effects
 * @internal
 */
export function handleOwnerChanged (state: NodeState, change: Omit<OwnerChange, 'at'>): NodeEffect[] {
  const { entry } = change
  const key = assignmentKey(entry.partition, entry.domain)
  const owned = state.limits.owned.get(key)
  if (owned !== undefined && !supersedes(entry, owned.entry)) return []
  const denials = owned === undefined ? [] : denyAllPending(owned)
  if (entry.owner !== state.identity.nodeId) {
    return owned === undefined ? [] : [...denials, ...releasePartition(state, key, entry.owner)]
  }
  const opensAt = isInitialAssignment(state, change) ? state.now : addMillis(state.now, TAKEOVER_DELAY)
  state.limits.owned.set(key, { entry, opensAt, buckets: new Map() })
  return [...denials, {
    slice: 'log',
    type: 'stateChanged',
    message: 'partition taken over',
    fields: { partition: entry.partition, domain: entry.domain, epoch: entry.epoch }
  }]
}

/** Before its first assignment a partition had no grants, unless the rate was divided among other domains then. */
function isInitialAssignment (state: NodeState, { entry, previous }: Omit<OwnerChange, 'at'>): boolean {
  countDomains(state)
  return isFirstEntry(entry) && previous === undefined && state.limits.domainCount.previous === 0
}

function releasePartition (state: NodeState, key: string, owner: NodeId): NodeEffect[] {
  return [{
    slice: 'log', type: 'stateChanged', message: 'partition given up', fields: { partition: key, owner }
  }, ...removePartition(state, key)]
}
